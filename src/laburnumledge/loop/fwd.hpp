#pragma once

namespace laburnumledge::loop {

class Loop;

}  // namespace laburnumledge::loop

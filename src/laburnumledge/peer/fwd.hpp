#pragma once

namespace laburnumledge::peer {

struct Member;
struct Membership;
class Peers;

}  // namespace laburnumledge::peer

#pragma once

namespace laburnumledge::site {

struct Resources;
struct Route;
struct Service;
struct Organisation;
struct Limits;
struct Configuration;
struct WorkerEntry;
struct Bounds;
struct Deployment;

}  // namespace laburnumledge::site

#pragma once

namespace laburnumledge::worker {

struct LeaseKey;
struct Lease;
struct Grant;
struct ExchangeRequest;
struct ExchangeReply;
struct WorkerView;
struct Shard;
struct Freshness;
enum class LeaseState : unsigned char;

}  // namespace laburnumledge::worker

#pragma once

namespace laburnumledge::state {

struct Job;
struct JobSpec;
struct State;
struct ConfigurationState;
struct Change;
struct ApplyResult;
enum class Phase : unsigned char;
enum class Outcome : unsigned char;
enum class Adjacency : unsigned char;
enum class ApplyCode : unsigned char;

}  // namespace laburnumledge::state

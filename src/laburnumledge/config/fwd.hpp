#pragma once

namespace laburnumledge::config {

struct Settings;
struct Configuration;
struct Inventory;
struct Rules;
struct Worker;
struct Instance;
struct Vm;
struct Organisation;
struct Guarantee;
enum class Cell : unsigned char;

}  // namespace laburnumledge::config

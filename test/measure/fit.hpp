#pragma once

#include <cmath>
#include <ctime>
#include <vector>

namespace laburnumledge::measure {

/** @brief One measured point. */
struct Point {
  double size_{};
  double value_{};
};

/** @brief Straight line through measured points. */
struct Fit {
  double base_{};
  double slope_{};
  double error_{};  ///< Largest distance from the line, as a share of the largest value.
};

/** @brief Least-squares line. Precondition: two points of different size at least. */
[[nodiscard]] inline Fit FitLine(const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Point& point : points) {
    sum_x += point.size_;
    sum_y += point.value_;
    sum_xx += point.size_ * point.size_;
    sum_xy += point.size_ * point.value_;
  }
  const auto count = static_cast<double>(points.size());
  Fit fit;
  fit.slope_ = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  fit.base_ = (sum_y - fit.slope_ * sum_x) / count;
  double largest = 0;
  for (const Point& point : points) {
    const double line = fit.base_ + fit.slope_ * point.size_;
    fit.error_ = std::fmax(fit.error_, std::fabs(point.value_ - line));
    largest = std::fmax(largest, std::fabs(point.value_));
  }
  fit.error_ = largest > 0 ? fit.error_ / largest : 0;
  return fit;
}

/** @brief Processor time of this process in microseconds. */
[[nodiscard]] inline double ProcessMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/** @brief Least processor time of a function over a number of runs, in microseconds. */
template <typename Function>
[[nodiscard]] double LeastMicroseconds(int runs, Function function) {
  double least = 0;
  for (int i = 0; i < runs; ++i) {
    const double begin = ProcessMicroseconds();
    function();
    const double taken = ProcessMicroseconds() - begin;
    least = i == 0 ? taken : std::fmin(least, taken);
  }
  return least;
}

}  // namespace laburnumledge::measure

#pragma once

#include "world.hpp"

namespace review {

/** @brief A minion leaves where tasks that fill take the processors of all others. */
void PlayFills(World& world, bool trouble);

/** @brief The leader's machine is replaced while a minion with tasks that last leaves. */
void PlayLasting(World& world, bool trouble);

/** @brief The leader is killed once while a job that repeats has many times behind it. */
void PlaySchedule(World& world, bool trouble);

/** @brief One order to start a task gets no answer; much later the leader is restarted as planned,
 * and the task's minion leaves as planned. */
void PlayDoubt(World& world, bool trouble);

/** @brief The one minion that the second step of a job that repeats can use leaves. */
void PlayTimes(World& world, bool trouble);

}  // namespace review

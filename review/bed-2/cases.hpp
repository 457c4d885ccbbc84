#pragma once

#include "bed.hpp"

namespace berylhill::review
{

/// A minion crashes under a task that lasts, while a gang of the same client
/// account waits for more of the account's cap than is free.
verdict lasting_task_behind_gang(run_options const& options);

/// A route moves from one service to another while tasks of an accepted job
/// run on minions of the former one.
verdict route_moved(run_options const& options);

/// The link to the only minion of a kind fails again and again, for some
/// seconds each, while a task of that kind runs there.
verdict failing_link(run_options const& options);

} // namespace berylhill::review

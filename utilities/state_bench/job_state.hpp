#pragma once

namespace berylhill::state_bench
{

/// Measures what storing one changed task costs the owner of the cell, by the
/// size and the age of the task's job. Prints one `name=value unit` line for
/// each figure.
void measure_job_state();

} // namespace berylhill::state_bench

#pragma once

#include <cell/job_call.hpp>

#include <ostream>

namespace berylhill::cell
{

/// So that tables of tests may have the kinds as samples.
inline std::ostream& operator<<(std::ostream& to, job_answer_kind it)
{
    return to << name_of(it);
}

} // namespace berylhill::cell

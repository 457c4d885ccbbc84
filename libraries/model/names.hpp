#pragma once

#include <base/result.hpp>
#include <model/contract.hpp>
#include <model/endpoint.hpp>
#include <model/job.hpp>

#include <string_view>

/// The names of enumerators on the wire, in files and in logs. They are part of
/// the interface and do not change.
namespace berylhill::model
{

[[nodiscard]] std::string_view name_of(job_kind it) noexcept;
[[nodiscard]] std::string_view name_of(urgency it) noexcept;
[[nodiscard]] std::string_view name_of(rerun it) noexcept;
[[nodiscard]] std::string_view name_of(task_end it) noexcept;
[[nodiscard]] std::string_view name_of(job_state it) noexcept;
[[nodiscard]] std::string_view name_of(endpoint_kind it) noexcept;
[[nodiscard]] std::string_view name_of(listed_state it) noexcept;
[[nodiscard]] std::string_view name_of(preemption it) noexcept;
[[nodiscard]] std::string_view name_of(preference it) noexcept;

/// The enumerator with this name, for every enum above; fails with `invalid`.
template <class Enum>
[[nodiscard]] base::result<Enum> enum_from(std::string_view name);

} // namespace berylhill::model

#pragma once

#include <model/contract.hpp>
#include <model/job.hpp>
#include <settings/value_kind.hpp>

#include <string>

namespace berylhill::settings
{

/// The one description of a contract as people write it. Thread-safe.
[[nodiscard]] value_kind<model::contract> const& contract_schema();

/// The same, to be part of another schema.
[[nodiscard]] kind_pointer<model::contract> contract_kind();

/// The one description of a job as callers submit it. Thread-safe.
[[nodiscard]] value_kind<model::job_request> const& job_request_schema();

/// Reads one contract; all mistakes go to `found`, and the value is only
/// meaningful where none was added. `source` is a file or `request`.
[[nodiscard]] model::contract read_contract(std::string const& source,
                                            std::string const& text,
                                            base::findings& found);

/// The same for a job.
[[nodiscard]] model::job_request read_job_request(std::string const& source,
                                                  std::string const& text,
                                                  base::findings& found);

} // namespace berylhill::settings

#pragma once

#include <base/finding.hpp>
#include <model/contract.hpp>

#include <string>
#include <vector>

namespace berylhill::settings
{

/// The contracts declared by a directory: one in each file `*.json` directly
/// in it, in the order of their file names. The mistakes of all files, and
/// those between files, go to `found`; with a finding the list is incomplete
/// and must not be applied.
[[nodiscard]] std::vector<model::contract>
read_contract_directory(std::string const& path, base::findings& found);

} // namespace berylhill::settings

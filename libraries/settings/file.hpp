#pragma once

#include <base/result.hpp>

#include <string>

namespace berylhill::settings
{

/// The whole file. Fails with `not_found` where it cannot be read.
[[nodiscard]] base::result<std::string> read_file(std::string const& path);

} // namespace berylhill::settings

#pragma once

#include <settings/entry_settings.hpp>
#include <settings/value_kind.hpp>

#include <string>

namespace berylhill::settings
{

/// The one description of an entry's settings file. Thread-safe.
[[nodiscard]] value_kind<entry_settings> const& entry_schema();

/// Reads a settings text; all mistakes go to `found`, and the value is only
/// meaningful where none was added. `source` names it in findings.
[[nodiscard]] entry_settings read_entry_settings(std::string const& source,
                                                 std::string const& text,
                                                 base::findings& found);

/// Reads a settings file. Fails with `invalid` and a message of one line for
/// each finding, and with `not_found` where the file cannot be read.
[[nodiscard]] base::result<entry_settings>
load_entry_settings(std::string const& path);

} // namespace berylhill::settings

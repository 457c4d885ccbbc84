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

/// The same for a file; that it cannot be read is a finding too.
[[nodiscard]] entry_settings load_entry_settings(std::string const& path,
                                                 base::findings& found);

} // namespace berylhill::settings

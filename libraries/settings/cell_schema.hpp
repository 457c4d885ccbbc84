#pragma once

#include <settings/cell_settings.hpp>
#include <settings/value_kind.hpp>

#include <string>

namespace berylhill::settings
{

/// The one description of a cell's settings file. Thread-safe.
[[nodiscard]] value_kind<cell_settings> const& cell_schema();

/// Reads a settings file; all mistakes, and that it cannot be read, go to
/// `found`, and the value is only meaningful where none was added.
[[nodiscard]] cell_settings load_cell_settings(std::string const& path,
                                               base::findings& found);

} // namespace berylhill::settings

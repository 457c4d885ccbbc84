#pragma once

#include <settings/value_kind.hpp>

#include <string>
#include <vector>

namespace berylhill::settings
{

/// One line for each member of an entry's settings, a contract and a job.
[[nodiscard]] std::vector<field_description> entry_reference();
[[nodiscard]] std::vector<field_description> cell_reference();
[[nodiscard]] std::vector<field_description> contract_reference();
[[nodiscard]] std::vector<field_description> job_reference();

/// A Markdown table of these lines, as docs/SETTINGS.md holds it.
[[nodiscard]] std::string
markdown_of(std::vector<field_description> const& lines);

/// All three tables under their headings: the whole of docs/SETTINGS.md after
/// its introduction.
[[nodiscard]] std::string markdown_reference();

} // namespace berylhill::settings

#include <settings/reference.hpp>

#include <settings/cell_schema.hpp>
#include <settings/contract_schema.hpp>
#include <settings/entry_schema.hpp>

namespace berylhill::settings
{

namespace
{

template <class T>
std::vector<field_description> describe(value_kind<T> const& kind)
{
    std::vector<field_description> lines;
    kind.describe("", T{}, lines);
    return lines;
}

} // namespace

std::vector<field_description> entry_reference()
{
    return describe(entry_schema());
}

std::vector<field_description> cell_reference()
{
    return describe(cell_schema());
}

std::vector<field_description> contract_reference()
{
    return describe(contract_schema());
}

std::vector<field_description> job_reference()
{
    return describe(job_request_schema());
}

std::string markdown_of(std::vector<field_description> const& lines)
{
    std::string out = "| Member | Type | Default | Unit | Meaning |\n"
                      "| --- | --- | --- | --- | --- |\n";
    for (auto const& it : lines)
    {
        out += "| `" + it.pointer + "` | " + it.type + " | `" +
               it.default_text + "` | " + it.unit + " | " + it.explanation +
               " |\n";
    }
    return out;
}

std::string markdown_reference()
{
    return "## Entry settings\n\n" + markdown_of(entry_reference()) +
           "\n## Cell settings\n\n" + markdown_of(cell_reference()) +
           "\n## Contract\n\n" + markdown_of(contract_reference()) +
           "\n## Job\n\n" + markdown_of(job_reference());
}

} // namespace berylhill::settings

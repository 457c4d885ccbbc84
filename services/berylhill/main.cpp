#include <base/finding.hpp>
#include <entry/entry.hpp>
#include <settings/entry_schema.hpp>

#include <iostream>
#include <string>

int main(int count, char** words)
{
    if (count != 4 || std::string{words[1]} != "entry")
    {
        std::cerr << "usage: berylhill entry --settings FILE\n";
        return 2;
    }
    berylhill::base::findings found;
    auto const settings =
        berylhill::settings::load_entry_settings(words[3], found);
    if (!found.empty())
    {
        std::cerr << found.text();
        return 2;
    }
    return berylhill::entry::run(settings);
}

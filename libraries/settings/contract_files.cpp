#include <settings/contract_files.hpp>

#include <settings/contract_schema.hpp>
#include <settings/file.hpp>

#include <algorithm>
#include <filesystem>
#include <map>
#include <system_error>

namespace berylhill::settings
{

namespace
{

std::vector<std::string> json_files(std::string const& path,
                                    base::findings& found)
{
    std::error_code ec;
    std::vector<std::string> files;
    for (auto const& it : std::filesystem::directory_iterator{path, ec})
    {
        if (it.path().extension() == ".json")
        {
            files.push_back(it.path().string());
        }
    }
    if (ec)
    {
        found.add({path, 0, "", "cannot be read as a directory"});
    }
    else if (files.empty())
    {
        // Applying an empty directory would remove every contract.
        found.add({path, 0, "", "holds no contract file (*.json)"});
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

std::vector<model::contract> read_contract_directory(std::string const& path,
                                                     base::findings& found)
{
    std::vector<model::contract> contracts;
    std::map<std::string, std::string> file_of;
    for (auto const& it : json_files(path, found))
    {
        auto const text = base::capture([&] { return read_file(it); });
        if (!text)
        {
            found.add({it, 0, "", "cannot be read"});
            continue;
        }
        auto value = read_contract(it, text.value(), found);
        auto const [first, is_new] = file_of.emplace(value.name, it);
        if (!is_new && !value.name.empty())
        {
            found.add({it, 0, "/name",
                       "contract " + value.name + " is already declared in " +
                           first->second});
        }
        contracts.push_back(std::move(value));
    }
    return contracts;
}

} // namespace berylhill::settings

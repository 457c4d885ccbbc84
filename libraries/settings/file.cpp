#include <settings/file.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace berylhill::settings
{

base::result<std::string> read_file(std::string const& path)
{
    std::error_code ec;
    // A folder opens as a file does, and then reads as empty.
    auto const is_folder = std::filesystem::is_directory(path, ec);
    std::ifstream in{path, std::ios::binary};
    if (!in || is_folder)
    {
        return base::fail(base::failure_code::not_found,
                          path + ": cannot be read as a file");
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

} // namespace berylhill::settings

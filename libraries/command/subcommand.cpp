#include <command/subcommand.hpp>

#include <model/json.hpp>
#include <settings/kinds.hpp>

#include <array>
#include <cstdlib>
#include <ctime>

namespace berylhill::command
{

namespace
{

constexpr std::int64_t s_us_per_s = 1'000'000;

} // namespace

base::result<std::vector<std::string>> arguments_in(
    cxxopts::ParseResult const& options, std::size_t least, std::size_t most)
{
    std::vector<std::string> all;
    if (options.count("arguments") > 0)
    {
        all = options["arguments"].as<std::vector<std::string>>();
    }
    if (all.size() < least || all.size() > most)
    {
        return base::fail(base::failure_code::invalid,
                          std::to_string(all.size()) +
                              " arguments given, but from " +
                              std::to_string(least) + " to " +
                              std::to_string(most) + " are taken; see --help");
    }
    return all;
}

base::result<entry_client> client_of(cxxopts::ParseResult const& options)
{
    auto const entries = options["entry"].as<std::vector<std::string>>();
    auto const kind = settings::address();
    base::findings found;
    for (auto const& it : entries)
    {
        Json::Value const value{it};
        settings::document const nowhere{"--entry", "null", found};
        std::string read;
        kind->read({nowhere, value, ""}, read, found);
    }
    auto const timeout_s = options["timeout"].as<double>();
    if (!found.empty())
    {
        return base::fail(base::failure_code::invalid, found.text());
    }
    if (!(timeout_s > 0))
    {
        return base::fail(base::failure_code::invalid,
                          "--timeout: expected seconds above 0");
    }
    return entry_client{entries, base::from_seconds(timeout_s)};
}

std::string operator_of(cxxopts::ParseResult const& options)
{
    if (options.count("operator") > 0)
    {
        return options["operator"].as<std::string>();
    }
    // Only this thread runs yet, so nobody changes the environment.
    auto const* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user == nullptr ? "unknown" : user;
}

bool wants_json(cxxopts::ParseResult const& options)
{
    return options.count("json") > 0;
}

std::string cell(Json::Value const& it, char const* name)
{
    auto const& value = it[name];
    if (value.isNull())
    {
        return "";
    }
    return value.isString() ? value.asString() : settings::short_text_of(value);
}

std::string time_cell(Json::Value const& it, char const* name)
{
    auto const& value = it[name];
    if (!value.isInt64() || value.asInt64() == 0)
    {
        return "-";
    }
    std::time_t const seconds = value.asInt64() / s_us_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return buf.data();
}

} // namespace berylhill::command

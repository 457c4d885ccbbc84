#include <command/subcommand.hpp>

#include <settings/cell_schema.hpp>

#include <cstdlib>

namespace berylhill::command
{

namespace
{

/// Where the platform names the settings file.
constexpr char const* settings_variable = "BERYLHILL_NODE_FILE";

class cell_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "cell";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Run a process of a cell until SIGTERM.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill cell --settings node.json";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("settings",
            std::string{"The settings file; without it, the one that "} +
                settings_variable + " names. docs/SETTINGS.md.",
            cxxopts::value<std::string>(), "FILE");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_CHECK(arguments_in(options, 0, 0));
        std::string path;
        if (options.count("settings") > 0)
        {
            path = options["settings"].as<std::string>();
        }
        else if (auto const* const named = std::getenv(settings_variable);
                 named != nullptr)
        {
            path = named;
        }
        else
        {
            return base::fail(base::failure_code::invalid,
                              "--settings FILE is missing");
        }
        base::findings found;
        auto const read = settings::load_cell_settings(path, found);
        if (!found.empty())
        {
            return base::fail(base::failure_code::invalid, found.text());
        }
        return static_cast<exit_code>(context.run_cell(read, path));
    }
};

} // namespace

std::unique_ptr<subcommand> make_cell_command()
{
    return std::make_unique<cell_command>();
}

} // namespace berylhill::command

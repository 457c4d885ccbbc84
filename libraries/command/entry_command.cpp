#include <command/subcommand.hpp>

#include <settings/entry_schema.hpp>

namespace berylhill::command
{

namespace
{

class entry_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "entry";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Run an entry instance until SIGTERM.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill entry --settings entry-1.json";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("settings", "The settings file; docs/SETTINGS.md.",
            cxxopts::value<std::string>(), "FILE");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_CHECK(arguments_in(options, 0, 0));
        if (options.count("settings") == 0)
        {
            return base::fail(base::failure_code::invalid,
                              "--settings FILE is missing");
        }
        base::findings found;
        auto const read = settings::load_entry_settings(
            options["settings"].as<std::string>(), found);
        if (!found.empty())
        {
            return base::fail(base::failure_code::invalid, found.text());
        }
        auto const status = context.run_entry(read);
        return static_cast<exit_code>(status);
    }
};

} // namespace

std::unique_ptr<subcommand> make_entry_command()
{
    return std::make_unique<entry_command>();
}

} // namespace berylhill::command

#include <command/subcommand.hpp>
#include <command/table.hpp>

#include <settings/cell_schema.hpp>
#include <settings/contract_files.hpp>
#include <settings/contract_schema.hpp>
#include <settings/entry_schema.hpp>
#include <settings/file.hpp>
#include <settings/reference.hpp>

#include <model/json.hpp>

namespace berylhill::command
{

namespace
{

Json::Value json_of(std::vector<settings::field_description> const& lines)
{
    Json::Value out{Json::arrayValue};
    for (auto const& it : lines)
    {
        Json::Value line{Json::objectValue};
        line["member"] = it.pointer;
        line["type"] = it.type;
        line["default"] = it.default_text;
        line["unit"] = it.unit;
        line["meaning"] = it.explanation;
        out.append(line);
    }
    return out;
}

std::string text_of(std::vector<settings::field_description> const& lines)
{
    table rows{{"MEMBER", "DEFAULT", "UNIT", "TYPE", "MEANING"}};
    for (auto const& it : lines)
    {
        rows.add(
            {it.pointer, it.default_text, it.unit, it.type, it.explanation});
    }
    return rows.text();
}

void print_defaults(cxxopts::ParseResult const& options, std::ostream& out)
{
    if (options.count("markdown") > 0)
    {
        out << settings::markdown_reference();
        return;
    }
    if (wants_json(options))
    {
        Json::Value all{Json::objectValue};
        all["entry"] = json_of(settings::entry_reference());
        all["cell"] = json_of(settings::cell_reference());
        all["contract"] = json_of(settings::contract_reference());
        all["job"] = json_of(settings::job_reference());
        out << model::text_of(all) << '\n';
        return;
    }
    out << "Entry settings\n\n"
        << text_of(settings::entry_reference()) << "\nCell settings\n\n"
        << text_of(settings::cell_reference()) << "\nContract\n\n"
        << text_of(settings::contract_reference()) << "\nJob\n\n"
        << text_of(settings::job_reference());
}

Json::Value json_of(base::findings const& found)
{
    Json::Value out{Json::arrayValue};
    for (auto const& it : found.items())
    {
        Json::Value line{Json::objectValue};
        line["source"] = it.source;
        line["line"] = Json::UInt64{it.line};
        line["place"] = it.place;
        line["message"] = it.message;
        out.append(line);
    }
    return out;
}

std::vector<std::string> given(cxxopts::ParseResult const& options,
                               char const* name)
{
    if (options.count(name) == 0)
    {
        return {};
    }
    return options[name].as<std::vector<std::string>>();
}

void check_job(std::string const& path, base::findings& found)
{
    auto const text = base::capture([&] { return settings::read_file(path); });
    if (!text)
    {
        found.add({path, 0, "", "cannot be read as a file"});
        return;
    }
    (void)settings::read_job_request(path, text.value(), found);
}

class check_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "check";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Check settings, contracts and jobs; nothing is started.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill check --settings entry-1.json --contracts contracts/";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        auto const files = []
        {
            return cxxopts::value<std::vector<std::string>>();
        };
        add("settings", "An entry's settings file.", files(), "FILE");
        add("cell", "A settings file of a cell's process.", files(), "FILE");
        add("contracts", "A directory of contract files.", files(), "DIR");
        add("job", "A job file.", files(), "FILE");
        add("defaults", "Show every member with its default and meaning.");
        add("markdown", "With --defaults: as docs/SETTINGS.md holds them.");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_CHECK(arguments_in(options, 0, 0));
        if (options.count("defaults") > 0)
        {
            print_defaults(options, context.out);
            return exit_code::done;
        }
        if (given(options, "settings").empty() &&
            given(options, "cell").empty() &&
            given(options, "contracts").empty() &&
            given(options, "job").empty())
        {
            return base::fail(base::failure_code::invalid,
                              "nothing to check: give --settings, --cell, "
                              "--contracts, --job or --defaults");
        }
        return report(collect(options), options, context);
    }

private:
    static base::findings collect(cxxopts::ParseResult const& options)
    {
        base::findings found;
        for (auto const& it : given(options, "settings"))
        {
            (void)settings::load_entry_settings(it, found);
        }
        for (auto const& it : given(options, "cell"))
        {
            (void)settings::load_cell_settings(it, found);
        }
        for (auto const& it : given(options, "contracts"))
        {
            (void)settings::read_contract_directory(it, found);
        }
        for (auto const& it : given(options, "job"))
        {
            check_job(it, found);
        }
        return found;
    }

    static exit_code report(base::findings const& found,
                            cxxopts::ParseResult const& options,
                            command_context& context)
    {
        if (wants_json(options))
        {
            Json::Value out{Json::objectValue};
            out["findings"] = json_of(found);
            context.out << model::text_of(out) << '\n';
        }
        else
        {
            context.out << (found.empty() ? "no mistakes\n" : found.text());
        }
        return found.empty() ? exit_code::done : exit_code::bad_input;
    }
};

} // namespace

std::unique_ptr<subcommand> make_check_command()
{
    return std::make_unique<check_command>();
}

} // namespace berylhill::command

#include <command/subcommand.hpp>
#include <command/table.hpp>

#include <api/paths.hpp>
#include <base/hash.hpp>
#include <configuration/contract_version_json.hpp>
#include <configuration/difference.hpp>
#include <model/json.hpp>
#include <settings/contract_files.hpp>

#include <algorithm>

namespace berylhill::command
{

namespace
{

/// What an entry has in force.
struct contracts_in_force
{
    std::int64_t offset{-1};
    std::vector<configuration::contract_version> versions;
};

base::result<contracts_in_force> fetch(entry_client const& client)
{
    BOOST_LEAF_AUTO(answer, client.ask(get(api::s_contracts)));
    if (!answer["offset"].isInt64() || !answer["contracts"].isArray())
    {
        return base::fail(base::failure_code::outcome_unknown,
                          "the entry's answer has no offset or no contracts");
    }
    contracts_in_force out{answer["offset"].asInt64(), {}};
    for (auto const& it : answer["contracts"])
    {
        BOOST_LEAF_AUTO(version, configuration::contract_version_from(it));
        out.versions.push_back(std::move(version));
    }
    return out;
}

base::result<std::vector<model::contract>> declared_in(std::string const& path)
{
    base::findings found;
    auto declared = settings::read_contract_directory(path, found);
    if (!found.empty())
    {
        return base::fail(base::failure_code::invalid, found.text());
    }
    return declared;
}

configuration::difference
difference_to(contracts_in_force const& before,
              std::vector<model::contract> const& declared)
{
    std::vector<model::contract> in_force;
    in_force.reserve(before.versions.size());
    for (auto const& it : before.versions)
    {
        in_force.push_back(it.contract);
    }
    return configuration::difference_between(in_force, declared);
}

/// Only what differs is sent: contracts that an apply does not touch cannot
/// make it lose.
Json::Value apply_body(configuration::difference const& it,
                       std::vector<model::contract> const& declared,
                       std::int64_t based_on,
                       std::string const& operator_name)
{
    Json::Value out{Json::objectValue};
    out["id"] = base::random_id();
    out["based_on"] = Json::Int64{based_on};
    out["operator"] = operator_name;
    out["contracts"] = Json::Value{Json::arrayValue};
    for (auto const& contract : it.added)
    {
        out["contracts"].append(model::to_json(contract));
    }
    for (auto const& changed : it.changed)
    {
        auto const found =
            std::find_if(declared.begin(), declared.end(),
                         [&](auto const& contract)
                         { return contract.name == changed.name; });
        out["contracts"].append(model::to_json(*found));
    }
    out["remove"] = Json::Value{Json::arrayValue};
    for (auto const& name : it.removed)
    {
        out["remove"].append(name);
    }
    return out;
}

std::string joined(Json::Value const& names)
{
    std::string out;
    for (auto const& it : names)
    {
        out += (out.empty() ? "" : ", ") + it.asString();
    }
    return out;
}

class contract_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "contract";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Apply declared contracts; list, show or follow them.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "apply DIR | list | show NAME | history NAME";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill contract apply contracts/ --entry 10.0.0.1:8080 "
               "--operator aiko";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("dry-run", "apply: show the difference and change nothing.");
        add("operator", "Who does this, for the history; default: $USER.",
            cxxopts::value<std::string>(), "NAME");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 1, 2));
        BOOST_LEAF_AUTO(client, client_of(options));
        if (words.size() == 2 && words[0] == "apply")
        {
            return apply(words[1], client, options, context);
        }
        if (words.size() == 1 && words[0] == "list")
        {
            return list(client, options, context);
        }
        if (words.size() == 2 && words[0] == "show")
        {
            return show(words[1], client, context);
        }
        if (words.size() == 2 && words[0] == "history")
        {
            return history(words[1], client, options, context);
        }
        return base::fail(base::failure_code::invalid,
                          "expected " + arguments());
    }

private:
    static base::result<exit_code> apply(std::string const& path,
                                         entry_client const& client,
                                         cxxopts::ParseResult const& options,
                                         command_context& context)
    {
        BOOST_LEAF_AUTO(declared, declared_in(path));
        BOOST_LEAF_AUTO(before, fetch(client));
        auto const change = difference_to(before, declared);
        if (!wants_json(options))
        {
            context.out << (change.empty() ? "no difference\n"
                                           : text_of(change));
        }
        if (change.empty() || options.count("dry-run") > 0)
        {
            return without_change(change, before, options, context);
        }
        auto const body =
            apply_body(change, declared, before.offset, operator_of(options));
        // The id in it makes a repeat at the next entry harmless.
        BOOST_LEAF_AUTO(answer, client.ask(post(api::s_contracts_apply, body,
                                                repeat::harmless)));
        return report(answer, options, context);
    }

    static exit_code without_change(configuration::difference const& change,
                                    contracts_in_force const& before,
                                    cxxopts::ParseResult const& options,
                                    command_context& context)
    {
        if (wants_json(options))
        {
            Json::Value out{Json::objectValue};
            out["based_on"] = Json::Int64{before.offset};
            out["difference"] = configuration::text_of(change);
            context.out << model::text_of(out) << '\n';
        }
        return exit_code::done;
    }

    static exit_code report(Json::Value const& answer,
                            cxxopts::ParseResult const& options,
                            command_context& context)
    {
        if (wants_json(options))
        {
            context.out << model::text_of(answer) << '\n';
        }
        else
        {
            context.out << "accepted as version " << cell(answer, "offset")
                        << ", in force on " << joined(answer["in_force"])
                        << '\n';
        }
        if (answer["missing"].empty())
        {
            return exit_code::done;
        }
        context.err << "not yet in force on " << joined(answer["missing"])
                    << '\n';
        return exit_code::unavailable;
    }

    static base::result<exit_code> list(entry_client const& client,
                                        cxxopts::ParseResult const& options,
                                        command_context& context)
    {
        if (wants_json(options))
        {
            BOOST_LEAF_AUTO(answer, client.ask(get(api::s_contracts)));
            context.out << model::text_of(answer) << '\n';
            return exit_code::done;
        }
        BOOST_LEAF_AUTO(now, fetch(client));
        table rows{{"NAME", "SIDE", "VERSION", "OPERATOR", "CALLS/S", "CORES",
                    "MEMORY MIB", "PREFERRED"}};
        for (auto const& it : now.versions)
        {
            auto const contract = model::to_json(it.contract);
            rows.add({it.contract.name, it.contract.side,
                      std::to_string(it.version), it.operator_name,
                      cell(contract, "calls_per_s"),
                      std::to_string(it.contract.quota.millicores / 1'000),
                      std::to_string(it.contract.quota.memory_mb),
                      cell(contract, "preferred")});
        }
        context.out << rows.text() << "in force: configuration offset "
                    << now.offset << '\n';
        return exit_code::done;
    }

    static base::result<exit_code> show(std::string const& name,
                                        entry_client const& client,
                                        command_context& context)
    {
        BOOST_LEAF_AUTO(now, fetch(client));
        for (auto const& it : now.versions)
        {
            if (it.contract.name == name)
            {
                context.out << configuration::to_json(it).toStyledString();
                return exit_code::done;
            }
        }
        return base::fail(base::failure_code::not_found,
                          "no contract " + name + " is in force");
    }

    static base::result<exit_code> history(std::string const& name,
                                           entry_client const& client,
                                           cxxopts::ParseResult const& options,
                                           command_context& context)
    {
        auto const target =
            std::string{api::s_contracts} + "/" + encoded(name) + "/history";
        BOOST_LEAF_AUTO(answer, client.ask(get(target)));
        if (wants_json(options))
        {
            context.out << model::text_of(answer) << '\n';
            return exit_code::done;
        }
        table rows{{"VERSION", "TIME (UTC)", "OPERATOR", "EVENT", "MEMBERS"}};
        for (auto const& it : answer["history"])
        {
            std::string members;
            for (auto const& member : it["members"])
            {
                members += (members.empty() ? "" : "; ") +
                           cell(member, "pointer") + ": " +
                           cell(member, "before") + " -> " +
                           cell(member, "after");
            }
            rows.add({cell(it, "version"), time_cell(it, "at_us"),
                      cell(it, "operator"), cell(it, "event"), members});
        }
        context.out << rows.text();
        return exit_code::done;
    }
};

} // namespace

std::unique_ptr<subcommand> make_contract_command()
{
    return std::make_unique<contract_command>();
}

} // namespace berylhill::command

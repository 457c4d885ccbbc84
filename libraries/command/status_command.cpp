#include <command/subcommand.hpp>
#include <command/table.hpp>

#include <api/paths.hpp>
#include <model/json.hpp>

#include <map>

namespace berylhill::command
{

namespace
{

/// What one entry said, or why it did not.
struct entry_status
{
    std::string address;
    base::outcome<Json::Value> answer;
};

std::string units_text(std::vector<entry_status> const& all)
{
    struct owner
    {
        std::string name;
        std::string epoch;
    };
    std::map<std::string, owner> owners;
    for (auto const& it : all)
    {
        if (!it.answer)
        {
            continue;
        }
        for (auto const& unit : it.answer.value()["units"])
        {
            auto& known = owners[cell(unit, "unit")];
            // Entries lag differently behind the log; the newest claim counts.
            if (known.epoch.empty() || std::stoll("0" + cell(unit, "epoch")) >
                                           std::stoll("0" + known.epoch))
            {
                known = {cell(unit, "owner"), cell(unit, "epoch")};
            }
        }
    }
    table rows{{"UNIT", "OWNER", "EPOCH"}};
    for (auto const& [unit, it] : owners)
    {
        rows.add({unit, it.name.empty() ? "-" : it.name, it.epoch});
    }
    return rows.text();
}

std::string entries_text(std::vector<entry_status> const& all)
{
    table rows{{"ENTRY", "INSTANCE", "ZONE", "SIDE", "CONFIGURATION", "LOG",
                "CALLS", "WAITING", "JOBS QUEUED", "TASKS", "LOG PENDING"}};
    for (auto const& it : all)
    {
        if (!it.answer)
        {
            rows.add({it.address, "unreachable", "", "", "", "", "", "", "", "",
                      ""});
            continue;
        }
        auto const& status = it.answer.value();
        auto const& queues = status["queues"];
        auto const complete = status["configuration_complete"].asBool();
        rows.add(
            {it.address, cell(status, "instance"), cell(status, "zone"),
             cell(status, "side"),
             cell(status, "configuration_offset") +
                 (complete ? "" : " (incomplete)"),
             status["log_reachable"].asBool() ? "reachable" : "unreachable",
             cell(queues, "calls_running"), cell(queues, "calls_waiting"),
             cell(queues, "jobs_queued"), cell(queues, "tasks_running"),
             cell(queues, "log_entries_pending")});
    }
    return rows.text();
}

Json::Value json_of(std::vector<entry_status> const& all)
{
    Json::Value out{Json::objectValue};
    for (auto const& it : all)
    {
        if (it.answer)
        {
            out["entries"][it.address] = it.answer.value();
            continue;
        }
        out["entries"][it.address]["error"] = it.answer.error().message;
    }
    return out;
}

class status_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "status";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Show who owns what, the configuration in force and queues.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill status --entry 10.0.0.1:8080 --entry 10.0.0.2:8080";
    }

    void add_options(cxxopts::OptionAdder& /*add*/) const override {}

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_CHECK(arguments_in(options, 0, 0));
        BOOST_LEAF_AUTO(client, client_of(options));
        std::vector<entry_status> all;
        auto end = exit_code::done;
        for (auto const& it : client.entries())
        {
            all.push_back(
                {it,
                 base::capture(
                     [&] { return client.only(it).ask(get(api::s_status)); })});
            if (!all.back().answer)
            {
                end = exit_code::unavailable;
            }
        }
        if (wants_json(options))
        {
            context.out << model::text_of(json_of(all)) << '\n';
            return end;
        }
        context.out << entries_text(all) << '\n' << units_text(all);
        return end;
    }
};

} // namespace

std::unique_ptr<subcommand> make_status_command()
{
    return std::make_unique<status_command>();
}

} // namespace berylhill::command

#include <command/subcommand.hpp>
#include <command/table.hpp>

#include <api/paths.hpp>
#include <model/json.hpp>

#include <map>

namespace berylhill::command
{

namespace
{

constexpr char const* s_log_queue = "log_entries";

/// What one entry said, or why it did not.
struct entry_status
{
    std::string address;
    base::outcome<Json::Value> answer;
};

/// Which instance an incarnation is, as this entry and its peers say.
void add_instances(entry_status const& from,
                   std::map<std::string, std::string>& into)
{
    if (!from.answer)
    {
        return;
    }
    auto const& status = from.answer.value();
    into[cell(status, "incarnation")] = cell(status, "instance");
    for (auto const& it : status["peers"])
    {
        into[cell(it, "incarnation")] = cell(it, "instance");
    }
}

std::string units_text(std::vector<entry_status> const& all)
{
    std::map<std::string, std::string> instances;
    for (auto const& it : all)
    {
        add_instances(it, instances);
    }
    struct owner
    {
        std::string name;
        std::int64_t epoch{-1};
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
            auto const epoch = unit["epoch"].isInt64() ? unit["epoch"].asInt64()
                                                       : std::int64_t{0};
            // Entries lag differently behind the log; the newest claim counts.
            if (epoch > known.epoch)
            {
                known = {unit["released"].asBool() ? "" : cell(unit, "owner"),
                         epoch};
            }
        }
    }
    table rows{{"UNIT", "OWNER", "EPOCH"}};
    for (auto const& [unit, it] : owners)
    {
        auto const instance = instances.find(it.name);
        rows.add({unit,
                  it.name.empty()               ? "-"
                  : instance == instances.end() ? it.name
                                                : instance->second,
                  std::to_string(it.epoch)});
    }
    return rows.text();
}

/// All waiting calls; the log's own queue has a column of its own.
std::string waiting_calls(Json::Value const& queues)
{
    std::int64_t sum = 0;
    for (auto const& it : queues.getMemberNames())
    {
        if (it != s_log_queue && queues[it].isInt64())
        {
            sum += queues[it].asInt64();
        }
    }
    return std::to_string(sum);
}

std::string entries_text(std::vector<entry_status> const& all)
{
    table rows{{"ENTRY", "INSTANCE", "ZONE", "SIDE", "INCARNATION",
                "CONFIGURATION", "CALLS WAITING", "LOG ENTRIES WAITING"}};
    for (auto const& it : all)
    {
        if (!it.answer)
        {
            rows.add({it.address, "unreachable", "", "", "", "", "", ""});
            continue;
        }
        auto const& status = it.answer.value();
        auto const& complete = status["configuration_complete"];
        auto const behind = complete.isBool() && !complete.asBool();
        rows.add({it.address, cell(status, "instance"), cell(status, "zone"),
                  cell(status, "side"), cell(status, "incarnation"),
                  cell(status, "configuration_offset") +
                      (behind ? " (incomplete)" : ""),
                  waiting_calls(status["queues"]),
                  cell(status["queues"], s_log_queue)});
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

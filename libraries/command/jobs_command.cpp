#include <command/job_output.hpp>
#include <command/subcommand.hpp>
#include <command/table.hpp>

#include <api/paths.hpp>
#include <model/json.hpp>

namespace berylhill::command
{

namespace
{

class jobs_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "jobs";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "List jobs, or show one.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "[ID]";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill jobs --contract kitakaze --state running";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("contract", "Only jobs of this contract.",
            cxxopts::value<std::string>(), "NAME");
        add("state", "Only jobs in this state.", cxxopts::value<std::string>(),
            "STATE");
        add("wait", "With an ID: follow the job to its end.");
        add("wait-at-most", "With --wait: give up after so many seconds.",
            cxxopts::value<double>()->default_value("86400"), "S");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 0, 1));
        BOOST_LEAF_AUTO(client, client_of(options));
        if (words.empty())
        {
            return list(client, options, context);
        }
        if (options.count("wait") > 0)
        {
            return follow_job(
                words[0],
                base::from_seconds(options["wait-at-most"].as<double>()),
                client, options, context.out);
        }
        BOOST_LEAF_AUTO(job, client.ask(get(std::string{api::s_jobs} + "/" +
                                            encoded(words[0]))));
        print_job(job, options, context.out);
        return exit_code::done;
    }

private:
    static base::result<std::string>
    target_of(cxxopts::ParseResult const& options)
    {
        std::string query;
        if (options.count("contract") > 0)
        {
            query +=
                "contract=" + encoded(options["contract"].as<std::string>());
        }
        if (options.count("state") > 0)
        {
            auto const state = options["state"].as<std::string>();
            BOOST_LEAF_CHECK(model::enum_from<model::job_state>(state));
            query += (query.empty() ? "state=" : "&state=") + encoded(state);
        }
        return std::string{api::s_jobs} + (query.empty() ? "" : "?" + query);
    }

    static base::result<exit_code> list(entry_client const& client,
                                        cxxopts::ParseResult const& options,
                                        command_context& context)
    {
        BOOST_LEAF_AUTO(target, target_of(options));
        BOOST_LEAF_AUTO(answer, client.ask(get(target)));
        if (wants_json(options))
        {
            context.out << model::text_of(answer) << '\n';
            return exit_code::done;
        }
        table rows{{"ID", "CONTRACT", "NAME", "KIND", "STATE", "DONE",
                    "ACCEPTED (UTC)", "REASON"}};
        for (auto const& it : answer["jobs"])
        {
            rows.add({cell(it, "id"), cell(it, "contract"), cell(it, "name"),
                      cell(it, "kind"), cell(it, "state"),
                      cell(it, "tasks_done") + "/" + cell(it, "tasks"),
                      time_cell(it, "accepted_at_us"), cell(it, "reason")});
        }
        context.out << rows.text();
        return exit_code::done;
    }
};

} // namespace

std::unique_ptr<subcommand> make_jobs_command()
{
    return std::make_unique<jobs_command>();
}

} // namespace berylhill::command

#include <command/job_output.hpp>
#include <command/subcommand.hpp>

#include <api/paths.hpp>
#include <model/json.hpp>
#include <settings/contract_schema.hpp>
#include <settings/file.hpp>
#include <telemetry/trace_context.hpp>

namespace berylhill::command
{

namespace
{

base::result<model::job_request> read_job(std::string const& path)
{
    BOOST_LEAF_AUTO(text, settings::read_file(path));
    base::findings found;
    auto job = settings::read_job_request(path, text, found);
    if (!found.empty())
    {
        return base::fail(base::failure_code::invalid, found.text());
    }
    return job;
}

class submit_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "submit";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Submit a job from a file.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "FILE";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill submit season-reissue.json --key season-2026 --wait";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("key",
            "Replaces the file's key. With a key, a repeat gets the first "
            "one's job, so a lost answer is harmless.",
            cxxopts::value<std::string>(), "KEY");
        add("wait", "Follow the job to its end.");
        add("wait-at-most", "With --wait: give up after so many seconds.",
            cxxopts::value<double>()->default_value("86400"), "S");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 1, 1));
        BOOST_LEAF_AUTO(client, client_of(options));
        BOOST_LEAF_AUTO(job, read_job(words[0]));
        if (options.count("key") > 0)
        {
            job.key = options["key"].as<std::string>();
        }
        auto request =
            post(api::s_jobs, model::to_json(job),
                 job.key.empty() ? repeat::forbidden : repeat::harmless);
        auto const trace = telemetry::new_trace();
        request.headers.push_back(
            {api::s_trace_header, telemetry::traceparent_of(trace)});
        BOOST_LEAF_AUTO(answer, client.ask(request));
        auto const id = cell(answer, "id");
        print_id(id, trace, options, context);
        if (options.count("wait") == 0)
        {
            return exit_code::done;
        }
        return follow_job(
            id, base::from_seconds(options["wait-at-most"].as<double>()),
            client, options, context.out);
    }

private:
    static void print_id(std::string const& id,
                         telemetry::trace_context const& trace,
                         cxxopts::ParseResult const& options,
                         command_context& context)
    {
        if (wants_json(options))
        {
            Json::Value out{Json::objectValue};
            out["id"] = id;
            out["trace_id"] = trace.trace_id;
            context.out << model::text_of(out) << std::endl;
            return;
        }
        context.out << "accepted as job " << id << " (trace " << trace.trace_id
                    << ')' << std::endl;
    }
};

} // namespace

std::unique_ptr<subcommand> make_submit_command()
{
    return std::make_unique<submit_command>();
}

} // namespace berylhill::command

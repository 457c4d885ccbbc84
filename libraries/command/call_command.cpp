#include <command/subcommand.hpp>

#include <api/paths.hpp>
#include <api/problem.hpp>
#include <model/json.hpp>
#include <settings/file.hpp>
#include <telemetry/trace_context.hpp>

#include <algorithm>
#include <cctype>

namespace berylhill::command
{

namespace
{

constexpr int s_first_error_status = 400;

/// The text itself, or the content of the file after `@`.
base::result<std::string> body_in(cxxopts::ParseResult const& options)
{
    if (options.count("body") == 0)
    {
        return std::string{};
    }
    auto given = options["body"].as<std::string>();
    if (!given.starts_with("@"))
    {
        return given;
    }
    return settings::read_file(given.substr(1));
}

class call_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "call";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Call a service and print its answer.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "SERVICE PATH";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill call report-svc on-now/household-17 --contract "
               "kitakaze";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("contract", "The contract that it runs under; required.",
            cxxopts::value<std::string>(), "NAME");
        add("method", "GET (idempotent) or POST.",
            cxxopts::value<std::string>()->default_value("GET"), "METHOD");
        add("body", "With POST: the body, or @FILE.",
            cxxopts::value<std::string>(), "TEXT");
        add("content-type", "With POST: the type of the body.",
            cxxopts::value<std::string>()->default_value("application/json"),
            "TYPE");
        add("deadline-ms", "Until the caller gives up.",
            cxxopts::value<std::int64_t>(), "MS");
        add("key", "The same for repeats of this call.",
            cxxopts::value<std::string>(), "KEY");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 2, 2));
        BOOST_LEAF_AUTO(client, client_of(options));
        auto const trace = telemetry::new_trace();
        BOOST_LEAF_AUTO(request, request_of(words, trace, options));
        BOOST_LEAF_AUTO(answer, client.send(request));
        if (answer.content_type.starts_with(api::s_problem_type))
        {
            context.err << "trace " << trace.trace_id << '\n';
            return base::fail(
                api::failure_of(api::problem_from(answer.status, answer.body)));
        }
        print(answer, trace, options, context);
        return answer.status < s_first_error_status ? exit_code::done
                                                    : exit_code::refused;
    }

private:
    static base::result<entry_request>
    request_of(std::vector<std::string> const& words,
               telemetry::trace_context const& trace,
               cxxopts::ParseResult const& options)
    {
        if (options.count("contract") == 0)
        {
            return base::fail(base::failure_code::invalid,
                              "--contract NAME is missing");
        }
        entry_request it;
        it.method = options["method"].as<std::string>();
        if (it.method != "GET" && it.method != "POST")
        {
            return base::fail(base::failure_code::invalid,
                              "--method: expected GET or POST");
        }
        it.target = std::string{api::s_services} + "/" + encoded(words[0]) +
                    (words[1].starts_with("/") ? "" : "/") + words[1];
        it.headers = {
            {api::s_contract_header, options["contract"].as<std::string>()},
            {api::s_trace_header, telemetry::traceparent_of(trace)}};
        if (options.count("deadline-ms") > 0)
        {
            it.headers.push_back(
                {api::s_deadline_header,
                 std::to_string(options["deadline-ms"].as<std::int64_t>())});
        }
        if (options.count("key") > 0)
        {
            it.headers.push_back(
                {api::s_key_header, options["key"].as<std::string>()});
        }
        it.content_type = options["content-type"].as<std::string>();
        BOOST_LEAF_ASSIGN(it.body, body_in(options));
        it.again = it.method == "GET" || options.count("key") > 0
                       ? repeat::harmless
                       : repeat::forbidden;
        return it;
    }

    static void print(entry_answer const& answer,
                      telemetry::trace_context const& trace,
                      cxxopts::ParseResult const& options,
                      command_context& context)
    {
        if (wants_json(options))
        {
            Json::Value out{Json::objectValue};
            out["status"] = answer.status;
            out["content_type"] = answer.content_type;
            out["body"] = answer.body;
            out["trace_id"] = trace.trace_id;
            context.out << model::text_of(out) << '\n';
            return;
        }
        context.out << answer.body;
        if (!answer.body.empty() && answer.body.back() != '\n')
        {
            context.out << '\n';
        }
        context.err << "status " << answer.status << ", trace "
                    << trace.trace_id << '\n';
    }
};

} // namespace

std::unique_ptr<subcommand> make_call_command()
{
    return std::make_unique<call_command>();
}

} // namespace berylhill::command

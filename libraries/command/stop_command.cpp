#include <command/subcommand.hpp>

#include <api/paths.hpp>
#include <api/stop_kind.hpp>
#include <model/json.hpp>

#include <thread>

namespace berylhill::command
{

namespace
{

constexpr auto s_between_questions = std::chrono::milliseconds{500};

/// How far one stop has come, printed again and again.
struct stop_line
{
    std::string what;
    cxxopts::ParseResult const& options;
    command_context& context;

    void print(Json::Value const& stop) const
    {
        if (wants_json(options))
        {
            context.out << model::text_of(stop) << std::endl;
            return;
        }
        auto const left = cell(stop, "work_left");
        context.out << what << ": " << cell(stop, "state")
                    << (left.empty() ? "" : ", work left " + left) << std::endl;
    }
};

class stop_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "stop";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Announce the planned stop of an instance, a worker or a "
               "minion.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "instance|worker|minion ID";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill stop worker w-17 --wait";
    }

    void add_options(cxxopts::OptionAdder& add) const override
    {
        add("wait", "Follow the stop until it is done.");
        add("wait-at-most", "With --wait: give up after so many seconds.",
            cxxopts::value<double>()->default_value("3600"), "S");
        add("operator", "Who does this; default: $USER.",
            cxxopts::value<std::string>(), "NAME");
    }

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 2, 2));
        BOOST_LEAF_AUTO(client, client_of(options));
        BOOST_LEAF_AUTO(kind, api::stop_kind_from(words[0]));
        Json::Value body{Json::objectValue};
        body["kind"] = std::string{api::stop_kind_name(kind)};
        body["id"] = words[1];
        body["operator"] = operator_of(options);
        // Announced twice, a stop is still one.
        BOOST_LEAF_AUTO(answer,
                        client.ask(post(api::s_stops, body, repeat::harmless)));
        stop_line const line{words[0] + " " + words[1], options, context};
        line.print(answer);
        if (options.count("wait") == 0)
        {
            return exit_code::done;
        }
        auto const target = std::string{api::s_stops} + "/" + words[0] + "/" +
                            encoded(words[1]);
        return follow(target, cell(answer, "state"), client, line);
    }

private:
    static base::result<exit_code> follow(std::string const& target,
                                          std::string state,
                                          entry_client const& client,
                                          stop_line const& line)
    {
        base::system_clock const clock;
        auto const until =
            clock.now() +
            base::from_seconds(line.options["wait-at-most"].as<double>());
        while (state != "done")
        {
            if (clock.now() >= until)
            {
                return base::fail(base::failure_code::timed_out,
                                  "announced, but not done in time; it goes "
                                  "on");
            }
            std::this_thread::sleep_for(s_between_questions);
            auto const answer =
                base::capture([&] { return client.ask(get(target)); });
            // The entry that was asked may be the one that stops.
            if (answer && cell(answer.value(), "state") != state)
            {
                state = cell(answer.value(), "state");
                line.print(answer.value());
            }
        }
        return exit_code::done;
    }
};

} // namespace

std::unique_ptr<subcommand> make_stop_command()
{
    return std::make_unique<stop_command>();
}

} // namespace berylhill::command

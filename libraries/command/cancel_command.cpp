#include <command/job_output.hpp>
#include <command/subcommand.hpp>

#include <api/paths.hpp>

namespace berylhill::command
{

namespace
{

class cancel_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "cancel";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Cancel a job.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "ID";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill cancel 8f3b6c0e1d2a4b5c";
    }

    void add_options(cxxopts::OptionAdder& /*add*/) const override {}

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        BOOST_LEAF_AUTO(words, arguments_in(options, 1, 1));
        BOOST_LEAF_AUTO(client, client_of(options));
        auto const target =
            std::string{api::s_jobs} + "/" + encoded(words[0]) + "/cancel";
        // Cancelled twice, a job is still cancelled.
        BOOST_LEAF_AUTO(
            job, client.ask(post(target, Json::objectValue, repeat::harmless)));
        print_job(job, options, context.out);
        return exit_code::done;
    }
};

} // namespace

std::unique_ptr<subcommand> make_cancel_command()
{
    return std::make_unique<cancel_command>();
}

} // namespace berylhill::command

#include <command/subcommand.hpp>
#include <command/time_line.hpp>

#include <fstream>
#include <iostream>

namespace berylhill::command
{

namespace
{

void read_lines(std::istream& from, std::vector<log_line>& into)
{
    std::string text;
    while (std::getline(from, text))
    {
        if (auto it = parse_log_line(text); it)
        {
            into.push_back(std::move(*it));
        }
    }
}

class explain_command final : public subcommand
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "explain";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "Tell from logs what happened to a job.";
    }

    [[nodiscard]] std::string arguments() const override
    {
        return "JOB [LOG...]";
    }

    [[nodiscard]] std::string example() const override
    {
        return "berylhill explain 5c0e7a21d94b36f8 /var/log/berylhill/*.log";
    }

    void add_options(cxxopts::OptionAdder&) const override {}

    [[nodiscard]] base::result<exit_code>
    run(cxxopts::ParseResult const& options,
        command_context& context) const override
    {
        constexpr std::size_t most_files = 10'000;
        BOOST_LEAF_AUTO(arguments, arguments_in(options, 1, most_files));
        std::vector<log_line> lines;
        if (arguments.size() == 1)
        {
            read_lines(std::cin, lines);
        }
        for (std::size_t n = 1; n < arguments.size(); ++n)
        {
            std::ifstream file{arguments[n]};
            if (!file)
            {
                return base::fail(base::failure_code::invalid,
                                  arguments[n] + ": cannot be read");
            }
            read_lines(file, lines);
        }
        auto const found = time_line_of(arguments[0], std::move(lines));
        if (found.empty())
        {
            return base::fail(base::failure_code::not_found,
                              "no line names " + arguments[0]);
        }
        for (auto const& it : found)
        {
            context.out << text_of(it) << '\n';
        }
        context.out << cause_in(found) << '\n';
        return exit_code::done;
    }
};

} // namespace

std::unique_ptr<subcommand> make_explain_command()
{
    return std::make_unique<explain_command>();
}

} // namespace berylhill::command

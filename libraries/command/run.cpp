#include <command/run.hpp>

#include <base/finding.hpp>

#include <array>

namespace berylhill::command
{

namespace
{

using subcommand_list = std::vector<std::unique_ptr<subcommand>>;

subcommand_list all_subcommands()
{
    subcommand_list all;
    all.push_back(make_entry_command());
    all.push_back(make_cell_command());
    all.push_back(make_check_command());
    all.push_back(make_contract_command());
    all.push_back(make_stop_command());
    all.push_back(make_submit_command());
    all.push_back(make_jobs_command());
    all.push_back(make_cancel_command());
    all.push_back(make_call_command());
    all.push_back(make_status_command());
    all.push_back(make_trace_command());
    all.push_back(make_explain_command());
    return all;
}

std::string overview(subcommand_list const& all)
{
    constexpr std::size_t width = 10;
    std::string out = "usage: berylhill SUBCOMMAND [ARGUMENTS]\n\n";
    for (auto const& it : all)
    {
        auto name = it->name();
        name.resize(width, ' ');
        out += "  " + name + it->summary() + "\n";
    }
    return out +
           "\nberylhill SUBCOMMAND --help says more. Exit status: 0 done, "
           "1 refused, 2 bad\ninput, 3 unavailable, 4 outcome unknown.\n";
}

cxxopts::Options options_of(subcommand const& it)
{
    cxxopts::Options options{"berylhill " + it.name(), it.summary()};
    auto add = options.add_options();
    add("h,help", "Show this.");
    add("json", "Print JSON, for scripts.");
    add("entry",
        "An entry's IP:port; may be given again. The next one is tried only "
        "when the request was surely not sent, or may be repeated.",
        cxxopts::value<std::vector<std::string>>()->default_value(
            "127.0.0.1:8080"),
        "IP:PORT");
    add("timeout", "Give up on an entry after so many seconds.",
        cxxopts::value<double>()->default_value("30"), "S");
    it.add_options(add);
    options.add_options("hidden")("arguments", "",
                                  cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    options.positional_help(it.arguments());
    options.custom_help("[OPTIONS]");
    return options;
}

std::string help_of(subcommand const& it, cxxopts::Options const& options)
{
    return options.help({""}) + "\nExample:\n  " + it.example() + "\n";
}

/// The library throws what is wrong with the command line.
base::result<cxxopts::ParseResult>
parse(cxxopts::Options& options, std::vector<std::string> const& arguments)
{
    std::vector<char const*> pointers{"berylhill"};
    for (auto const& it : arguments)
    {
        pointers.push_back(it.c_str());
    }
    try
    {
        return options.parse(static_cast<int>(pointers.size()),
                             pointers.data());
    }
    catch (cxxopts::exceptions::exception const& it)
    {
        return base::fail(base::failure_code::invalid, it.what());
    }
}

base::result<exit_code> run_one(subcommand const& it,
                                std::vector<std::string> const& arguments,
                                command_context& context)
{
    auto options = options_of(it);
    BOOST_LEAF_AUTO(parsed, parse(options, arguments));
    if (parsed.count("help") > 0)
    {
        context.out << help_of(it, options);
        return exit_code::done;
    }
    return it.run(parsed, context);
}

int status_of(exit_code it)
{
    return static_cast<int>(it);
}

int report(subcommand const& it,
           base::failure const& why,
           command_context& context)
{
    context.err << "berylhill " << it.name() << ": " << why.message;
    if (why.message.empty() || why.message.back() != '\n')
    {
        context.err << '\n';
    }
    if (why.retry_after_s > 0)
    {
        context.err << "try again after " << why.retry_after_s << " s\n";
    }
    return status_of(exit_code_of(why.code));
}

int unknown_subcommand(subcommand_list const& all,
                       std::string const& name,
                       command_context& context)
{
    std::vector<std::string> known;
    known.reserve(all.size());
    for (auto const& it : all)
    {
        known.push_back(it->name());
    }
    auto const nearest = base::nearest_name(name, known);
    context.err << "berylhill: no subcommand \"" << name << '"'
                << (nearest.empty() ? "" : "; did you mean " + nearest + "?")
                << "\n\n"
                << overview(all);
    return status_of(exit_code::bad_input);
}

} // namespace

int run(std::vector<std::string> const& arguments, command_context context)
{
    auto const all = all_subcommands();
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h")
    {
        auto& to = arguments.empty() ? context.err : context.out;
        to << overview(all);
        return status_of(arguments.empty() ? exit_code::bad_input
                                           : exit_code::done);
    }
    for (auto const& it : all)
    {
        if (it->name() != arguments[0])
        {
            continue;
        }
        auto const end = base::capture(
            [&] {
                return run_one(*it, {arguments.begin() + 1, arguments.end()},
                               context);
            });
        return end ? status_of(end.value()) : report(*it, end.error(), context);
    }
    return unknown_subcommand(all, arguments[0], context);
}

} // namespace berylhill::command

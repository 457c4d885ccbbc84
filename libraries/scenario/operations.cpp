#include <scenario/operations.hpp>

#include <cassert>

namespace berylhill::scenario
{

namespace
{

/// One order to a stand-in.
struct order
{
    std::string subject;
    std::string fault;
    double value{0};
};

order order_from(statement const& it)
{
    switch (it.what)
    {
    case action::log_fault:
        return {"log", it.word("fault"), 0};
    case action::log_slow:
        return {"log", "slow", it.number("time") * 1'000};
    case action::log_lose:
        return {"log", "lose_" + it.word("when"), it.number("share")};
    case action::list_fault:
        return {"list", it.word("fault"), 0};
    case action::worker_cut:
        return {it.word("id"), "cut_" + it.word("way"), 0};
    case action::minion_slow:
        return {it.word("id"), "slow", it.number("time") * 1'000};
    default:
        return {it.word("id"), it.word("fault"), 0};
    }
}

} // namespace

bool is_operation(action it)
{
    return it >= action::kill_entry && it <= action::announce;
}

base::result<base::done> perform(statement const& it, cell& to, api_client& api)
{
    assert(is_operation(it.what));
    switch (it.what)
    {
    case action::kill_entry:
        to.kill_entry(it.count("entry"));
        return base::done{};
    case action::freeze_entry:
        to.freeze_entry(it.count("entry"));
        return base::done{};
    case action::thaw_entry:
        to.thaw_entry(it.count("entry"));
        return base::done{};
    case action::start_entry:
        return to.start_entry(it.count("entry"));
    case action::stop_entry:
        return to.stop_entry(it.count("entry"));
    case action::announce:
        return api.announce(it.word("kind"), it.word("id"));
    default:
    {
        auto const wanted = order_from(it);
        return to.fault(wanted.subject, wanted.fault, wanted.value);
    }
    }
}

} // namespace berylhill::scenario

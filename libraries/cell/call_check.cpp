#include <cell/call_check.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace berylhill::cell
{

std::uint64_t hash_of_route(workload::queue_spec const& it)
{
    return base::hash_of(it.host + it.path_prefix);
}

std::uint64_t digest_of_key(std::string_view key)
{
    return base::hash_of(key);
}

call_verdict check(job_call const& it,
                   workload::cell_configuration const& newer)
{
    // A process that runs an older release sends no configuration version.
    if (it.configuration == 0 || it.configuration >= newer.version)
    {
        return call_verdict::allowed;
    }
    auto const* const queue = newer.find_queue(it.queue);
    if (queue == nullptr || hash_of_route(*queue) != it.route_hash)
    {
        return call_verdict::no_queue;
    }
    if (!newer.accounts || queue->callers == workload::caller_check::none)
    {
        return call_verdict::allowed;
    }
    auto const& all = newer.accounts->all();
    auto const account =
        std::ranges::find(all, it.account, &workload::account_spec::name);
    auto const known =
        account != all.end() &&
        std::ranges::any_of(account->keys, [&](auto const& key)
                            { return digest_of_key(key) == it.key_digest; });
    return known ? call_verdict::allowed : call_verdict::no_key;
}

} // namespace berylhill::cell

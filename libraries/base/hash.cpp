#include <base/hash.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <utility>

namespace berylhill::base
{

std::uint64_t hash_of(std::string_view text) noexcept
{
    return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> candidates)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighed;
    weighed.reserve(candidates.size());
    for (auto& it : candidates)
    {
        auto const weight =
            XXH3_64bits_withSeed(it.data(), it.size(), hash_of(key));
        weighed.emplace_back(weight, std::move(it));
    }
    std::sort(weighed.begin(), weighed.end(), std::greater<>{});
    std::vector<std::string> ordered;
    ordered.reserve(weighed.size());
    for (auto& it : weighed)
    {
        ordered.push_back(std::move(it.second));
    }
    return ordered;
}

std::string random_id()
{
    static thread_local std::random_device s_entropy;
    std::array<char, 33> buf{};
    std::snprintf(buf.data(), buf.size(), "%08x%08x%08x%08x", s_entropy(),
                  s_entropy(), s_entropy(), s_entropy());
    return std::string{buf.data()};
}

} // namespace berylhill::base

#pragma once

#include <model/job.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace berylhill::entry
{

/// Which messages of shards a rack's owner may still carry out. A message whose
/// sender has given up waiting may arrive after later ones; each shard numbers
/// its messages to a rack, and one that is not above all that were seen is
/// late. An answer to a message therefore settles all earlier ones too. Not
/// thread-safe.
class order_gate
{
public:
    /// Whether the message is not late. `epoch` is that of the shard's owner,
    /// who numbers from 1 on; a message with number 0 comes from an owner that
    /// does not number its messages. Precondition: `epoch` is not below that of
    /// any earlier call for the shard.
    bool
    admit(std::string const& shard, std::int64_t epoch, std::int64_t number);

    /// The shard's owner has taken note of the attempt's end when it had sent
    /// `orders_sent` messages: no later one orders the attempt.
    void ended(std::string const& shard,
               model::attempt_id const& attempt,
               std::int64_t orders_sent);

    /// Whether the attempt is known to have ended. False where no message that
    /// orders it can be admitted any more.
    [[nodiscard]] bool has_ended(std::string const& shard,
                                 model::attempt_id const& attempt) const;

private:
    struct seen
    {
        std::int64_t epoch{0};
        std::int64_t highest{0};
        /// Attempts that have ended, and the number of the last message that
        /// may order each.
        std::map<model::attempt_id, std::int64_t> ended;
    };

    std::map<std::string, seen> m_shards;
};

} // namespace berylhill::entry

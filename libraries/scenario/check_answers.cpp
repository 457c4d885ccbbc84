#include <scenario/checker.hpp>

namespace berylhill::scenario
{

namespace
{

class whole_answers_checker final : public checker
{
public:
    std::string name() const override
    {
        return "whole-answers";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::vector<breach> found;
        for (auto const& it : seen)
        {
            if (it.kind != "call_answered")
            {
                continue;
            }
            // The minion puts the call's body into its answer, and the body
            // holds the call's name, which no other call has.
            if (it.word("echo") != it.word("call"))
            {
                found.push_back({name(), it.at_us,
                                 it.word("call") + " got the answer to '" +
                                     it.word("echo") + "'"});
            }
        }
        return found;
    }
};

} // namespace

checker_pointer whole_answers()
{
    return std::make_unique<whole_answers_checker>();
}

} // namespace berylhill::scenario

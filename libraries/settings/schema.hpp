#pragma once

#include <settings/kinds.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::settings
{

enum class presence : std::uint8_t
{
    optional,
    required,
};

/// What people read about a member.
struct field_text
{
    std::string name;
    std::string unit;
    std::string explanation;
    presence needed{presence::optional};
};

/// The members of an object, declared once: reading, findings, defaults and
/// the reference all follow from this. Built once, then immutable and
/// thread-safe.
template <class Object>
class schema final : public value_kind<Object>
{
public:
    /// A check over several members, run when all of them were read without
    /// a finding.
    using check_function = std::function<void(
        located_value const& at, Object const& read, base::findings& found)>;

    template <class Member>
    void add(field_text text, Member Object::*member, kind_pointer<Member> kind)
    {
        m_fields.push_back(std::make_unique<member_field<Member>>(
            std::move(text), member, std::move(kind)));
    }

    void check(std::vector<std::string> members, check_function function)
    {
        m_checks.push_back({std::move(members), std::move(function)});
    }

    [[nodiscard]] std::string name() const override
    {
        return "object";
    }

    void read(located_value const& from,
              Object& into,
              base::findings& found) const override
    {
        if (!from.json().isObject())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        base::findings own;
        find_unknown(from, own);
        for (auto const& it : m_fields)
        {
            read_field(*it, from, into, own);
        }
        for (auto const& it : m_checks)
        {
            if (!touches(own, from.pointer(), it.members))
            {
                it.function(from, into, own);
            }
        }
        found.add(own);
    }

    [[nodiscard]] Json::Value write(Object const& it) const override
    {
        Json::Value out{Json::objectValue};
        for (auto const& member : m_fields)
        {
            out[member->text.name] = member->write(it);
        }
        return out;
    }

    void describe(std::string const& pointer,
                  Object const& defaults,
                  std::vector<field_description>& into) const override
    {
        for (auto const& it : m_fields)
        {
            it->describe(pointer + "/" + it->text.name, defaults, into);
        }
    }

private:
    struct field
    {
        explicit field(field_text it)
            : text{std::move(it)}
        {
        }
        field(field const&) = delete;
        field& operator=(field const&) = delete;
        virtual ~field() = default;

        virtual void read(located_value const& from,
                          Object& into,
                          base::findings& found) const = 0;
        [[nodiscard]] virtual Json::Value write(Object const& it) const = 0;
        virtual void describe(std::string const& pointer,
                              Object const& defaults,
                              std::vector<field_description>& into) const = 0;

        field_text text;
    };

    template <class Member>
    struct member_field final : field
    {
        member_field(field_text it,
                     Member Object::*place,
                     kind_pointer<Member> values)
            : field{std::move(it)}
            , member{place}
            , kind{std::move(values)}
        {
        }

        void read(located_value const& from,
                  Object& into,
                  base::findings& found) const override
        {
            kind->read(from, into.*member, found);
        }

        [[nodiscard]] Json::Value write(Object const& it) const override
        {
            return kind->write(it.*member);
        }

        void describe(std::string const& pointer,
                      Object const& defaults,
                      std::vector<field_description>& into) const override
        {
            auto const before = into.size();
            kind->describe(pointer, defaults.*member, into);
            if (into.size() != before)
            {
                return;
            }
            auto const& words = this->text;
            into.push_back({pointer, kind->name(),
                            words.needed == presence::required
                                ? "required"
                                : short_text_of(kind->write(defaults.*member)),
                            words.unit, words.explanation});
        }

        Member Object::*member;
        kind_pointer<Member> kind;
    };

    struct member_check
    {
        std::vector<std::string> members;
        check_function function;
    };

    void find_unknown(located_value const& from, base::findings& found) const
    {
        std::vector<std::string> known;
        for (auto const& it : m_fields)
        {
            known.push_back(it->text.name);
        }
        for (auto const& it : from.json().getMemberNames())
        {
            if (std::find(known.begin(), known.end(), it) != known.end())
            {
                continue;
            }
            auto const nearest = base::nearest_name(it, known);
            found.add(from.member(it).wrong(
                "unknown member" +
                (nearest.empty() ? "" : "; did you mean " + nearest + "?")));
        }
    }

    static void read_field(field const& it,
                           located_value const& from,
                           Object& into,
                           base::findings& found)
    {
        if (from.json().isMember(it.text.name))
        {
            it.read(from.member(it.text.name), into, found);
            return;
        }
        if (it.text.needed == presence::required)
        {
            found.add(from.wrong("member " + it.text.name +
                                 " is missing: " + it.text.explanation));
        }
    }

    static bool touches(base::findings const& found,
                        std::string const& pointer,
                        std::vector<std::string> const& members)
    {
        auto const is_below = [&](base::finding const& it)
        {
            return std::any_of(
                members.begin(), members.end(),
                [&](auto const& name)
                { return it.place.starts_with(pointer + "/" + name); });
        };
        return std::any_of(found.items().begin(), found.items().end(),
                           is_below);
    }

    std::vector<std::unique_ptr<field>> m_fields;
    std::vector<member_check> m_checks;
};

} // namespace berylhill::settings

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hornbeamlane {

/** A name that cannot be mixed up with a name of another kind. */
template <class Tag>
class Identifier final
{
public:
    Identifier() = default;
    explicit Identifier(std::string name)
        : name_(std::move(name))
    {
    }

    /** The name as written in the catalogue or the settings. */
    const std::string &name() const
    {
        return name_;
    }

    bool isEmpty() const
    {
        return name_.empty();
    }

    auto operator<=>(const Identifier &) const = default;

private:
    std::string name_;
};

/** A 64-bit number that cannot be mixed up with a number of another kind. */
template <class Tag>
class Number final
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : value_(value)
    {
    }

    constexpr std::uint64_t value() const
    {
        return value_;
    }

    /** The following number of a monotonic series. */
    constexpr Number next() const
    {
        return Number(value_ + 1);
    }

    constexpr auto operator<=>(const Number &) const = default;

private:
    std::uint64_t value_ = 0;
};

using TeamId = Identifier<struct TeamTag>;
using ServerId = Identifier<struct ServerTag>;
using HostId = Identifier<struct HostTag>;
using EntryHostId = Identifier<struct EntryHostTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using ModelId = Identifier<struct ModelTag>;
using ServiceId = Identifier<struct ServiceTag>;
using GroupId = Identifier<struct GroupTag>;
using ClassId = Identifier<struct ClassTag>;
using DrainId = Identifier<struct DrainTag>;

/** Random number chosen anew at each start of a process or an engine. Zero means unknown. */
using Incarnation = Number<struct IncarnationTag>;

/** Version of a lease row; orders that carry an older token than one already seen are refused. */
using FencingToken = Number<struct FencingTag>;

using CatalogueVersion = Number<struct CatalogueVersionTag>;
using ExpertMapVersion = Number<struct ExpertMapVersionTag>;

/** Number of a lock-step forward pass of a group. */
using StepNumber = Number<struct StepTag>;

} // namespace hornbeamlane

template <class Tag>
struct std::hash<hornbeamlane::Identifier<Tag>>
{
    std::size_t operator()(const hornbeamlane::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.name());
    }
};

template <class Tag>
struct std::hash<hornbeamlane::Number<Tag>>
{
    std::size_t operator()(const hornbeamlane::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};

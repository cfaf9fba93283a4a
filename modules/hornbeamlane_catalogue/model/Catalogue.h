#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Upper bounds of an entry; an empty bound means that the entry sets none. */
struct Limits
{
    /** Requests that run at the same time. */
    std::optional<std::uint32_t> concurrency;
    std::optional<std::uint32_t> requestsPerSecond;
    /** Generated tokens. */
    std::optional<std::uint32_t> tokensPerSecond;

    bool operator==(const Limits &) const = default;
};

/** What every entry of the catalogue states, whatever its kind. */
struct EntryHeader
{
    std::string name;
    std::string owner;
    ClassId entryClass;
    Limits limits;

    bool operator==(const EntryHeader &) const = default;
};

/** A service class: its priority and its latency targets. */
struct ClassEntry
{
    EntryHeader header;
    /** Higher is served first and shed last. */
    std::uint32_t priority = 0;
    std::chrono::milliseconds firstTokenTarget{860};
    std::chrono::milliseconds tokenIntervalTarget{40};
    /** Time after which the caller is assumed to be gone. */
    std::chrono::milliseconds deadline{60000};

    bool operator==(const ClassEntry &) const = default;
};

enum class CutOffPolicy {
    Serve, ///< Goes on serving the callers that reach it.
    Stop, ///< Refuses after a few seconds without any contact.
};

struct DataCentreEntry
{
    EntryHeader header;
    std::string region;
    CutOffPolicy whenCutOff = CutOffPolicy::Serve;

    bool operator==(const DataCentreEntry &) const = default;
};

enum class FencingSupport {
    Enforced, ///< The engine refuses orders with an old fencing token.
    Ignored, ///< The agent has to check the token on its behalf.
};

/** A backend server: a model engine or a plain service, reached only through the agent beside it. */
struct ServerEntry
{
    /** limits.concurrency is the most requests that the warm server bears. */
    EntryHeader header;
    DataCentreId dataCentre;
    HostId host;
    /** Address of its agent, "<ip>:<port>". */
    std::string agentAddress;
    /** Most requests at once directly after a start. */
    std::uint32_t coldConcurrency = 2;
    FencingSupport fencing = FencingSupport::Enforced;
    std::vector<ModelId> models;
    std::vector<ServiceId> services;

    bool operator==(const ServerEntry &) const = default;
};

struct ModelEntry
{
    EntryHeader header;

    bool operator==(const ModelEntry &) const = default;
};

enum class KeyPolicy { Required, Optional };

/** Rule for calls of a plain service; the first rule that matches method and path prefix applies. */
struct CallRule
{
    std::string method;
    std::string pathPrefix;
    bool isRepeatable = false;
    KeyPolicy idempotencyKey = KeyPolicy::Required;

    bool operator==(const CallRule &) const = default;
};

struct ServiceEntry
{
    EntryHeader header;
    std::vector<CallRule> calls;

    bool operator==(const ServiceEntry &) const = default;
};

/** A team: who may call what, and how much. */
struct TeamEntry
{
    EntryHeader header;
    /** Guaranteed share of limits.concurrency in each data centre; never lent out. Their sum is at most the limit. */
    std::map<DataCentreId, std::uint32_t> floors;
    std::vector<ModelId> models;
    std::vector<ServiceId> services;

    bool operator==(const TeamEntry &) const = default;
};

/** A group of ranks that runs one model in lock-step. */
struct GroupEntry
{
    EntryHeader header;
    ModelId model;
    std::uint32_t ranks = 1;
    std::uint32_t expertsPerLayer = 1;
    std::uint32_t layers = 1;
    /** Servers that hold the ranks, in rank order; each holds an equal share. */
    std::vector<ServerId> servers;

    bool operator==(const GroupEntry &) const = default;
};

/** Weights of the operator between the measured goals, each in [0, 1]. */
struct PolicyEntry
{
    EntryHeader header;
    double stepTimeSkewWeight = 0.5;
    double serviceContinuityWeight = 0.5;

    bool operator==(const PolicyEntry &) const = default;
};

/** One accepted state of all entries. */
struct Catalogue
{
    std::map<ClassId, ClassEntry> classes;
    std::map<DataCentreId, DataCentreEntry> dataCentres;
    std::map<ServerId, ServerEntry> servers;
    std::map<ModelId, ModelEntry> models;
    std::map<ServiceId, ServiceEntry> services;
    std::map<TeamId, TeamEntry> teams;
    std::map<GroupId, GroupEntry> groups;
    PolicyEntry policy;

    bool operator==(const Catalogue &) const = default;
};

} // namespace hornbeamlane

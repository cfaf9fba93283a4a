#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Hash of something that requests can have in common and that may crash a server; equal on all hosts. */
using TraitHash = Number<struct TraitTag>;

/** Names one crash. */
using CrashId = Number<struct CrashTag>;

/** Names a server on all hosts, whichever start of it. */
using ServerKey = Number<struct ServerKeyTag>;

/** What one request has in common with others. */
struct RequestTraits
{
    /** The whole request; equal for each repetition of it. */
    TraitHash whole;
    /** The parts of its prompt that other requests may share. */
    std::vector<TraitHash> parts;
    /** Its team and route; only for a request of a known team that shares no parts. */
    std::optional<TraitHash> origin;
};

/** A request that was at a server when it crashed and had got nothing of its answer's body. */
struct CrashCandidate
{
    RequestTraits traits;
    /** The server had begun to answer it. */
    bool hadHead = false;
};

/** A request of an origin with which a server has begun an answer. */
struct SoundRequest
{
    TraitHash origin;
    TraitHash whole;

    bool operator==(const SoundRequest &) const = default;
    auto operator<=>(const SoundRequest &) const = default;
};

/** What an entry knows of one crash. */
struct CrashRecord
{
    CrashId id;
    /** The server and how many crashes of it were known before; see CrashName. Not set for crashes named otherwise. */
    ServerKey server;
    std::uint32_t number = 0;
    /** Time since the crash as the message was sent. */
    std::chrono::milliseconds age{0};
    std::vector<CrashCandidate> candidates;
    /** Traits of candidates with which a server has begun an answer since. */
    std::vector<TraitHash> cleared;
    /** Parts of candidates, and candidates as a whole, with which servers had begun answers before. */
    std::vector<TraitHash> begunBefore;
    /** Requests of the candidates' origins that have been answered since. */
    std::vector<SoundRequest> soundSince;
    /** Another start of the server has been seen; before that it may only be cut off. */
    bool isConfirmed = false;
    /** The same start of the server has answered since, so it had not crashed. */
    bool isRefuted = false;
};

/** Crashes that an entry tells others of, or that a row of the table keeps. */
struct CrashUpdate
{
    std::vector<CrashRecord> crashes;
    /** Time of day, since 1970, at which a row was written; zero in a message. */
    std::chrono::milliseconds writtenAt{0};
};

/** An entry's word that it runs, or is about to run, a request with a suspect trait. */
struct TrialClaim
{
    TraitHash trait;
    bool isRunning = false;
};

/** All claims of an entry at present. */
struct TrialUpdate
{
    Incarnation sender;
    /** Grows with each message of one start of the sender, so that old claims do not replace new ones. */
    std::uint64_t sequence = 0;
    std::vector<TrialClaim> claims;
};

} // namespace hornbeamlane

#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <string>
#include <vector>

namespace hornbeamlane {

/** A catalogue version with its document. */
struct CatalogueUpdate
{
    CatalogueVersion version;
    /** The newest version that every server of all older versions has confirmed. */
    CatalogueVersion settledVersion;
    /** Empty if the message only announces the settled version. */
    std::string document;
};

/** Asks the peer for its newest catalogue and drains; a starting process sends it while the table is down. */
struct CatalogueRequest
{
    CatalogueVersion knownVersion;
};

/** Processes that have a version in force. */
struct CatalogueConfirm
{
    CatalogueVersion version;
    /** Names of processes; a process confirms itself, a reader forwards what it has heard. */
    std::vector<std::string> processes;
};

enum class DrainScope { DataCentre, Host, BackendServer };

/** One drain that an operator has asked for. */
struct DrainRecord
{
    DrainId id;
    DrainScope scope = DrainScope::BackendServer;
    std::string name;
};

/** The drain set: a drain is in force if it is added and not removed. Merging is the union of both lists. */
struct DrainUpdate
{
    std::vector<DrainRecord> added;
    std::vector<DrainId> removed;
};

/** Evidence that a request crashes servers. */
struct QuarantineRecord
{
    Hash128 fingerprint;
    std::vector<Incarnation> lostServers;
    std::chrono::milliseconds expiresIn{0};
    /** Entry that may run the request again while the others wait; zero if unknown. */
    Incarnation owner;
    /** Server on which the sender runs the request or is about to; zero if on none. */
    Incarnation reservedServer;
    /** A later run ended normally, so the lost servers are no evidence any more. */
    bool isCleared = false;
    /** Answers a record of the receiver and is not answered itself. */
    bool isReply = false;
    /** The sender has another such request on the server that the receiver has reserved. */
    bool isReservationDeclined = false;
};

struct QuarantineUpdate
{
    std::vector<QuarantineRecord> records;
};

} // namespace hornbeamlane

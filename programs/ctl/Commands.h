#pragma once

#include "ctl/CommandLine.h"
#include "ctl/ExitCode.h"
#include "ctl/PlatformClient.h"
#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>

namespace hornbeamlane::ctl {

/** Runs one command of the operator and prints its result. */
class Commands final
{
public:
    explicit Commands(CommandLine line);

    ExitCode run();

private:
    /** The newest accepted version with its document. */
    struct Current
    {
        CatalogueVersion version;
        std::string document;
    };

    ExitCode validate();
    ExitCode check();
    ExitCode diff();
    ExitCode apply();
    ExitCode status();
    ExitCode entryStatus();
    ExitCode drain();
    ExitCode localDrain(DrainScope scope);

    ExitCode finish(ExitCode code, const std::string &message);
    std::optional<LoadedCatalogue> load(ExitCode &code);
    std::optional<Current> readCurrent(ExitCode &code);
    std::optional<StatusReport> readStatus(ExitCode &code);
    /** Adds what differs from the newest version, or why that cannot be told. */
    void addDifferenceIfKnown(const std::string &document);
    bool addDifference(const Current &current, const std::string &document);
    ExitCode waitForConfirmation(CatalogueVersion version);
    std::string unknownNameFault(DrainScope scope, const std::string &name);

    CommandLine line_;
    PlatformClient platform_;
    nlohmann::ordered_json result_ = nlohmann::ordered_json::object();
};

} // namespace hornbeamlane::ctl

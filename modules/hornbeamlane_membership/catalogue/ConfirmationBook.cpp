#include "hornbeamlane_membership/catalogue/ConfirmationBook.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

std::string confirmationsToRowValue(const Confirmations &confirmations)
{
    nlohmann::json value = nlohmann::json::object();
    for (const auto &[process, version] : confirmations) {
        value[process] = version.value();
    }
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Confirmations> confirmationsFromRowValue(std::string_view value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    Confirmations confirmations;
    for (const auto &[process, version] : json.items()) {
        if (!version.is_number_unsigned()) {
            return std::nullopt;
        }
        confirmations[process] = CatalogueVersion(version.get<std::uint64_t>());
    }
    return confirmations;
}

ConfirmationBook::ConfirmationBook(Options options)
    : options_(std::move(options))
{
}

std::string ConfirmationBook::key() const
{
    return confirmationsPrefix + options_.dataCentre.name();
}

void ConfirmationBook::note(const std::string &process, CatalogueVersion version)
{
    auto &noted = confirmations_[process];
    noted = std::max(noted, version);
}

void ConfirmationBook::retain(const std::set<std::string> &processes)
{
    std::erase_if(confirmations_, [&processes](const auto &item) { return !processes.contains(item.first); });
}

KeeperActions ConfirmationBook::tick(bool isReader, TimePoint now)
{
    const bool isWaiting = lastRequest_ && now - *lastRequest_ < options_.requestTimeout;
    const bool isTooSoon = lastWrite_ && now - *lastWrite_ < options_.writeInterval;
    if (!isReader || isWaiting || isTooSoon || (stored_ && *stored_ == confirmations_)) {
        return {};
    }
    lastRequest_ = now;
    lastWrite_ = now;
    if (!stored_) {
        return {ReadRow{.key = key()}};
    }
    writing_ = confirmations_;
    return {WriteRow{
        .write = {.key = key(), .expectedVersion = rowVersion_, .value = confirmationsToRowValue(confirmations_)}}};
}

void ConfirmationBook::onRow(const TableReply &reply)
{
    lastRequest_.reset();
    if (reply.status == TableStatus::NotFound) {
        stored_ = Confirmations();
        rowVersion_ = RowVersion();
    } else if (reply.status == TableStatus::Ok && reply.row) {
        // A row in another form was not written by this release and is replaced.
        stored_ = confirmationsFromRowValue(reply.row->value).value_or(Confirmations());
        rowVersion_ = reply.row->version;
        for (const auto &[process, version] : *stored_) {
            note(process, version);
        }
    }
}

void ConfirmationBook::onWritten(const TableReply &reply)
{
    lastRequest_.reset();
    if (reply.status == TableStatus::Ok && reply.row) {
        stored_ = writing_;
        rowVersion_ = reply.row->version;
    } else if (options_.retriesWrite()) {
        // The other reader has written, or the outcome is unknown; the row is read before the next write.
        stored_.reset();
    } else {
        stored_ = writing_;
    }
}

} // namespace hornbeamlane

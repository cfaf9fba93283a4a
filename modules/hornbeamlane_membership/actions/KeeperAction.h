#pragma once

#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_membership/table/TableClient.h"
#include "hornbeamlane_messages/types/Message.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamlane {

/** Read the row and pass the reply to onRow(). */
struct ReadRow
{
    std::string key;
};

/** Write the row and pass the reply to onWritten(). */
struct WriteRow
{
    TableWrite write;
};

/** Send the message on the link to the named process; drop it if there is no link. */
struct SendToPeer
{
    std::string peer;
    Message message;
};

/** Use this catalogue version from now on. */
struct PutInForce
{
    CatalogueVersion version;
    std::shared_ptr<const Catalogue> catalogue;
};

/** What a keeper asks its process to do, in this order. */
using KeeperAction = std::variant<ReadRow, WriteRow, SendToPeer, PutInForce>;
using KeeperActions = std::vector<KeeperAction>;

} // namespace hornbeamlane

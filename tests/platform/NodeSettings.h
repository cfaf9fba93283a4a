#pragma once

#include "platform/PlatformSettings.h"
#include "platform/soak/SoakStore.h"

namespace hornbeamlane::platform {

/** Settings of an entry on loopback that follows the store. */
inline PlatformSettings settingsOfEntry(const SoakStore &store)
{
    PlatformSettings settings;
    settings.gateway.name = "entry";
    settings.gateway.dataCentre = DataCentreId("a");
    settings.gateway.callerAddress = "127.0.0.1:0";
    settings.gateway.readyAddress = "127.0.0.1:0";
    settings.gateway.peerAddress = "127.0.0.1:0";
    settings.store.address = "127.0.0.1:" + std::to_string(store.port());
    return settings;
}

} // namespace hornbeamlane::platform

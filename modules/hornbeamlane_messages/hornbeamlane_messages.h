/**
    Typed messages between the processes of the system, and their CBOR codec with bounded sizes.

    Depends on hornbeamlane_base. A new field is added with a default, because receivers skip unknown fields and
    accept absent ones; two releases can therefore run side by side.
*/
#pragma once

#include "hornbeamlane_messages/codec/MessageCodec.h"
#include "hornbeamlane_messages/types/AttemptMessages.h"
#include "hornbeamlane_messages/types/GroupMessages.h"
#include "hornbeamlane_messages/types/LinkMessages.h"
#include "hornbeamlane_messages/types/Message.h"
#include "hornbeamlane_messages/types/StateMessages.h"

#include "hornbeamlane_entry/CallerRequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

namespace {

constexpr const char *teamHeader = "X-Hornbeamlane-Team";
constexpr const char *deadlineHeader = "X-Hornbeamlane-Deadline-Milliseconds";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/services/";
constexpr std::size_t maxKeyBytes = 255;

/** Tokens reserved for a request that states no bound of its own. */
constexpr std::uint32_t defaultMaxTokens = 1024;

Refusal refuse(RefusalReason reason, std::string detail)
{
    return {.reason = reason, .execution = ExecutionState::NotRun, .detail = std::move(detail)};
}

template <class Id>
bool contains(const std::vector<Id> &ids, const Id &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** Messages of a chat request, in order. */
std::vector<std::string> messagesOf(const nlohmann::json &body)
{
    std::vector<std::string> messages;
    for (const auto &message : body["messages"]) {
        messages.push_back(message.value("role", "") + ":" + message["content"].dump() + "\n");
    }
    return messages;
}

bool hasChatForm(const nlohmann::json &body)
{
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string() || !body.contains("messages")
        || !body["messages"].is_array() || body["messages"].empty()) {
        return false;
    }
    return std::all_of(body["messages"].begin(), body["messages"].end(), [](const nlohmann::json &message) {
        return message.is_object() && message.contains("content") && message.contains("role")
            && message["role"].is_string();
    });
}

/** Reads one request; each step returns false after it has set the refusal. */
class RequestReader final
{
public:
    RequestReader(const HttpRequest &request, const Catalogue &catalogue, Refusal &refusal)
        : request_(request)
        , catalogue_(catalogue)
        , refusal_(refusal)
    {
    }

    std::optional<CallerRequest> read()
    {
        auto &dispatch = result_.dispatch;
        dispatch.method = request_.method;
        dispatch.contentType = request_.header("Content-Type").value_or("");
        dispatch.body = request_.body;
        if (!readTeam() || !readTarget() || !readClass() || !readDeadline()) {
            return std::nullopt;
        }
        const std::string identity = dispatch.team.name() + '\0' + dispatch.target + '\0' + dispatch.method + '\0'
            + dispatch.path + '\0' + dispatch.body;
        result_.digest = hash128(identity);
        dispatch.fingerprint = result_.digest;
        return std::move(result_);
    }

private:
    bool fail(RefusalReason reason, std::string detail)
    {
        refusal_ = refuse(reason, std::move(detail));
        return false;
    }

    bool readTeam()
    {
        const auto name = request_.header(teamHeader);
        if (!name || name->empty()) {
            return fail(RefusalReason::UnknownTeam, std::string("the header ") + teamHeader + " is required");
        }
        const auto found = catalogue_.teams.find(TeamId(*name));
        if (found == catalogue_.teams.end()) {
            return fail(RefusalReason::UnknownTeam, "the catalogue has no such team");
        }
        team_ = &found->second;
        result_.dispatch.team = found->first;
        return true;
    }

    bool readTarget()
    {
        if (request_.path == chatPath) {
            return readChat();
        }
        if (request_.path.starts_with(servicePrefix)) {
            return readService();
        }
        return fail(RefusalReason::UnknownService, "no such path");
    }

    bool readChat()
    {
        if (request_.method != "POST") {
            return fail(RefusalReason::MethodNotAllowed, "chat completions take POST");
        }
        const auto body = nlohmann::json::parse(request_.body, nullptr, false);
        if (body.is_discarded()) {
            return fail(RefusalReason::MalformedRequest, "the body is not valid JSON");
        }
        if (!hasChatForm(body)) {
            return fail(RefusalReason::MalformedRequest, "the body needs a model and messages with role and content");
        }
        if (body.contains("stream") && !body["stream"].is_boolean()) {
            return fail(RefusalReason::MalformedRequest, "stream must be true or false");
        }
        if (body.contains("max_tokens") && (!body["max_tokens"].is_number_unsigned() || body["max_tokens"] == 0U)) {
            return fail(RefusalReason::MalformedRequest, "max_tokens must be a positive integer");
        }
        const ModelId model(body["model"].get<std::string>());
        if (!catalogue_.models.contains(model) || !contains(team_->models, model)) {
            return fail(RefusalReason::UnknownModel, "the team has no such model");
        }
        auto &dispatch = result_.dispatch;
        dispatch.kind = WorkKind::Model;
        dispatch.target = model.name();
        dispatch.path = chatPath;
        dispatch.isStream = body.value("stream", false);
        dispatch.maxTokens = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(body.value("max_tokens", std::uint64_t{defaultMaxTokens}), UINT32_MAX));
        dispatch.isRepeatable = true;
        result_.sharedMessages = messagesOf(body);
        for (const auto &message : result_.sharedMessages) {
            result_.prompt += message;
        }
        result_.sharedMessages.pop_back();
        return true;
    }

    bool readService()
    {
        const auto rest = request_.path.substr(servicePrefix.size());
        const auto slash = std::min(rest.find('/'), rest.size());
        const ServiceId service(rest.substr(0, slash));
        const auto found = catalogue_.services.find(service);
        if (found == catalogue_.services.end() || !contains(team_->services, service)) {
            return fail(RefusalReason::UnknownService, "the team has no such service");
        }
        auto &dispatch = result_.dispatch;
        dispatch.kind = WorkKind::Service;
        dispatch.target = service.name();
        const std::string path = slash < rest.size() ? rest.substr(slash) : "/";
        dispatch.path = request_.query.empty() ? path : path + "?" + request_.query;
        return readCallRule(found->second, path) && readKey();
    }

    bool readCallRule(const ServiceEntry &service, const std::string &path)
    {
        const auto rule = std::find_if(service.calls.begin(), service.calls.end(), [&](const CallRule &candidate) {
            return candidate.method == request_.method && path.starts_with(candidate.pathPrefix);
        });
        if (rule == service.calls.end()) {
            return fail(RefusalReason::MethodNotAllowed, "the catalogue allows no such call of the service");
        }
        result_.dispatch.isRepeatable = rule->isRepeatable;
        result_.keyPolicy = rule->isRepeatable ? KeyPolicy::Optional : rule->idempotencyKey;
        return true;
    }

    bool readKey()
    {
        const auto key = request_.header("Idempotency-Key");
        if (key && (key->empty() || key->size() > maxKeyBytes)) {
            return fail(RefusalReason::MalformedRequest, "Idempotency-Key must have 1 to 255 characters");
        }
        if (!key && result_.keyPolicy == KeyPolicy::Required) {
            return fail(RefusalReason::MissingIdempotencyKey, "this call needs the header Idempotency-Key");
        }
        result_.dispatch.idempotencyKey = key.value_or("");
        return true;
    }

    bool readClass()
    {
        const auto found = catalogue_.classes.find(team_->header.entryClass);
        if (found == catalogue_.classes.end()) {
            return fail(RefusalReason::InternalError, "the team's class has no entry");
        }
        result_.dispatch.requestClass = found->first;
        result_.dispatch.priority = found->second.priority;
        result_.dispatch.remainingDeadline = found->second.deadline;
        return true;
    }

    bool readDeadline()
    {
        const auto text = request_.header(deadlineHeader);
        if (!text) {
            return true;
        }
        const auto isNumber = !text->empty() && text->size() <= 9
            && std::all_of(text->begin(), text->end(), [](char digit) { return digit >= '0' && digit <= '9'; });
        if (!isNumber) {
            return fail(RefusalReason::MalformedRequest, std::string(deadlineHeader) + " must be a number");
        }
        // A caller can shorten the deadline of its class, not extend it.
        result_.dispatch.remainingDeadline =
            std::min(result_.dispatch.remainingDeadline, std::chrono::milliseconds(std::stol(*text)));
        return true;
    }

    const HttpRequest &request_;
    const Catalogue &catalogue_;
    Refusal &refusal_;
    const TeamEntry *team_ = nullptr;
    CallerRequest result_;
};

} // namespace

std::optional<CallerRequest> readCallerRequest(const HttpRequest &request, const Catalogue &catalogue, Refusal &refusal)
{
    return RequestReader(request, catalogue, refusal).read();
}

} // namespace hornbeamlane

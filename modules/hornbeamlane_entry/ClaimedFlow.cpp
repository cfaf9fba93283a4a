#include "hornbeamlane_entry/ClaimedFlow.h"

namespace hornbeamlane {

ClaimedFlow::ClaimedFlow(CallerRequest request, CallerReply reply, Hooks hooks, TableHooks table)
    : request_(std::move(request))
    , reply_(std::move(reply))
    , hooks_(std::move(hooks))
    , table_(std::move(table))
    , deadline_(hooks_.now() + request_.dispatch.remainingDeadline)
    , coordinator_(coordinatorOptions())
{
}

ClaimCoordinator::Options ClaimedFlow::coordinatorOptions()
{
    ClaimCoordinator::Options options;
    options.request = {.team = request_.dispatch.team,
                       .idempotencyKey = request_.dispatch.idempotencyKey,
                       .digest = request_.digest,
                       .deadline = deadline_};
    options.nextAttempt = hooks_.nextAttempt;
    options.takeRetry = hooks_.takeRetry;
    options.chooseTarget = [this]() -> std::optional<ClaimCoordinator::Target> {
        NoTarget none;
        const auto target = hooks_.chooseTarget(request_, tried_, none);
        if (!target) {
            return std::nullopt;
        }
        tried_.push_back(target->server);
        return ClaimCoordinator::Target{
            .server = target->server, .agentIncarnation = target->incarnation, .agentTime = target->agentTime};
    };
    return options;
}

void ClaimedFlow::start()
{
    run(coordinator_.start(hooks_.now()));
}

void ClaimedFlow::run(const ClaimActions &actions)
{
    for (const auto &action : actions) {
        carryOut(action);
    }
}

void ClaimedFlow::carryOut(const ClaimAction &action)
{
    if (const auto *write = std::get_if<WriteClaimRow>(&action)) {
        table_.write(write->operation, write->write);
    } else if (const auto *read = std::get_if<ReadClaimRow>(&action)) {
        table_.read(read->operation, read->key);
    } else if (const auto *remove = std::get_if<RemoveClaimRow>(&action)) {
        table_.remove(remove->operation, remove->key, remove->expectedVersion);
    } else if (const auto *attempt = std::get_if<DispatchAttempt>(&action)) {
        dispatch(*attempt);
    } else if (const auto *query = std::get_if<QueryAttemptState>(&action)) {
        // A query that cannot be sent is repeated by the coordinator's timer.
        hooks_.send({.server = query->server}, query->query);
    } else if (const auto *confirm = std::get_if<ConfirmRecorded>(&action)) {
        hooks_.send({.server = confirm->server}, confirm->recorded);
    } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
        reply_.restart();
        reply_.setHead(answer->response.status, answer->response.contentType, false);
        reply_.addData(answer->response.body);
        reply_.complete(answer->isReplay);
    } else if (const auto *refuse = std::get_if<RefuseCaller>(&action)) {
        reply_.refuse(refuse->refusal);
    }
}

void ClaimedFlow::dispatch(const DispatchAttempt &action)
{
    const auto now = hooks_.now();
    target_ = Target{.server = action.server, .incarnation = action.targetIncarnation};
    response_ = {};
    assembler_.emplace(ResponseAssembler::Options{.attempt = action.attempt});
    dispatch_ = request_.dispatch;
    dispatch_.attempt = action.attempt;
    dispatch_.targetIncarnation = action.targetIncarnation;
    dispatch_.validUntil = action.validUntil;
    dispatch_.remainingDeadline = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
    if (!hooks_.send(*target_, dispatch_)) {
        target_.reset();
        run(coordinator_.onDispatchNotSent(action.attempt, now));
        return;
    }
    hooks_.dispatched(*target_, dispatch_, request_);
}

void ClaimedFlow::onTableReply(TableOperation operation, const TableReply &reply)
{
    run(coordinator_.onTableReply(operation, reply, hooks_.now()));
}

void ClaimedFlow::onMessage(const ServerId &, Incarnation sender, const Message &message)
{
    const auto now = hooks_.now();
    if (const auto *status = std::get_if<AttemptStatus>(&message)) {
        run(coordinator_.onAttemptStatus(*status, now));
        return;
    }
    if (!target_ || sender != target_->incarnation) {
        return;
    }
    if (const auto *head = std::get_if<ResponseHead>(&message)) {
        response_.status = head->status;
        response_.contentType = head->contentType;
        applyResult(assembler_->onHead(*head));
    } else if (const auto *data = std::get_if<ResponseData>(&message)) {
        handleData(*data);
    } else if (const auto *end = std::get_if<ResponseEnd>(&message)) {
        applyResult(assembler_->onEnd(*end));
    } else if (const auto *rejected = std::get_if<Rejected>(&message)) {
        if (rejected->attempt == dispatch_.attempt) {
            endAttempt(false);
        }
        run(coordinator_.onRejected(*rejected, sender, now));
    }
}

void ClaimedFlow::handleData(const ResponseData &data)
{
    const auto result = assembler_->onData(data);
    if (result == ResponseAssembler::Result::Accepted) {
        response_.body += data.bytes;
        const auto credit = assembler_->passToCaller(data.bytes.size());
        if (credit > 0) {
            hooks_.send(*target_, Credit{.attempt = dispatch_.attempt, .bytes = credit});
        }
    }
    applyResult(result);
}

void ClaimedFlow::applyResult(ResponseAssembler::Result result)
{
    if (result == ResponseAssembler::Result::Completed) {
        const auto attempt = dispatch_.attempt;
        endAttempt(!isServerError(response_.status));
        run(coordinator_.onResponse(attempt, std::move(response_), hooks_.now()));
    } else if (result == ResponseAssembler::Result::Failed) {
        const auto server = target_->server;
        endAttempt(false);
        run(coordinator_.onLinkLost(server, hooks_.now()));
    }
}

void ClaimedFlow::endAttempt(bool isAnswered)
{
    hooks_.ended(*target_, dispatch_, isAnswered);
    target_.reset();
}

void ClaimedFlow::onLinkLost(const ServerId &server, Incarnation incarnation)
{
    if (target_ && target_->server == server && target_->incarnation == incarnation) {
        endAttempt(false);
    }
    run(coordinator_.onLinkLost(server, hooks_.now()));
}

void ClaimedFlow::onLinkUp(const ServerId &server, Incarnation incarnation)
{
    run(coordinator_.onLinkUp(server, incarnation, hooks_.now()));
}

void ClaimedFlow::onTime()
{
    run(coordinator_.onTime(hooks_.now()));
}

std::optional<TimePoint> ClaimedFlow::nextWakeUp() const
{
    return coordinator_.nextWakeUp();
}

bool ClaimedFlow::isFinished() const
{
    return coordinator_.isFinished() && reply_.isOver();
}

} // namespace hornbeamlane

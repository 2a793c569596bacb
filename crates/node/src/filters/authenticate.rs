//! Identifies the caller by the token alone, and determines the priority class of the work from the
//! operators' selectors. Nothing else in a request can change who the caller is, or its labels.

use settings::config::Caller;
use settings::config::Class;
use settings::config::Config;
use settings::config::Kind;
use wire::ask::Ask;
use wire::ask::Body;
use wire::code::Code;
use wire::code::Refusal;
use wire::id;

use crate::filters::Result;

/// Returns the caller that a token belongs to.
///
/// # Errors
///
/// Refuses a missing or unknown token.
pub fn caller(config: &Config, token: Option<id::Digest>) -> Result<&Caller> {
    let known = token.and_then(|digest| config.caller_by_token(digest));
    known.ok_or_else(|| Refusal::new(Code::UnknownToken, ""))
}

/// Returns the priority class of the work.
///
/// # Errors
///
/// Refuses work for an unknown model or service, and work that no selector allows.
pub fn class(config: &Config, ask: &Ask) -> Result<Class> {
    let (kind, serves, unknown) = match &ask.body {
        Body::Chat(chat) => (Kind::Runner, &*chat.request.model, Code::UnknownModel),
        Body::Call(call) => (Kind::Service, call.service.as_str(), Code::UnknownService),
        Body::Create | Body::Show | Body::End | Body::Inspect => return Ok(Class::Routine),
    };
    if !config.serves(kind, serves) {
        return Err(Refusal::new(unknown, serves));
    }
    let caller = config.caller(ask.caller.as_str());
    let caller = caller.ok_or_else(|| Refusal::new(Code::UnknownToken, ""))?;
    match config.grant(caller, &ask.program, kind, serves) {
        Some(grant) => Ok(grant.selector.class),
        None => Err(Refusal::new(Code::NotAllowed, serves)),
    }
}

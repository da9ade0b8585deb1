//! Parser of the scenario language: one step per line; `#` starts a comment.

use quick_error::quick_error;
use winnow::Parser;
use winnow::Result;
use winnow::ascii::dec_uint;
use winnow::ascii::float;
use winnow::ascii::space1;
use winnow::combinator::alt;
use winnow::combinator::preceded;
use winnow::combinator::separated;
use winnow::token::take_while;

use crate::step::Bound;
use crate::step::LoadSpec;
use crate::step::Step;
use crate::step::Switch;

quick_error! {
    /// A line of a scenario that cannot be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ScriptError {
        /// Line number, counted from 1, and its text without the comment.
        Line(number: usize, text: String) {
            display("line {}: not a step: {:?}", number, text)
        }
    }
}

/// Parses a scenario into its steps, each with its line number, counted from 1.
///
/// # Errors
/// The first line that is not a step.
pub fn parse(text: &str) -> std::result::Result<Vec<(usize, Step)>, ScriptError> {
    text.lines()
        .enumerate()
        .map(|(index, line)| (index + 1, strip(line)))
        .filter(|(_, line)| !line.is_empty())
        .map(|(number, line)| match step.parse(line) {
            Ok(step) => Ok((number, step)),
            Err(_) => Err(ScriptError::Line(number, line.to_owned())),
        })
        .collect()
}

fn strip(line: &str) -> &str {
    line.split('#').next().unwrap_or_default().trim()
}

fn word(input: &mut &str) -> Result<String> {
    take_while(1.., |c: char| !c.is_whitespace())
        .map(String::from)
        .parse_next(input)
}

fn words(input: &mut &str) -> Result<Vec<String>> {
    separated(1.., word, space1).parse_next(input)
}

fn next_word(input: &mut &str) -> Result<String> {
    preceded(space1, word).parse_next(input)
}

fn number(input: &mut &str) -> Result<u64> {
    preceded(space1, dec_uint).parse_next(input)
}

fn labelled_number(label: &'static str) -> impl FnMut(&mut &str) -> Result<u64> {
    move |input| preceded((space1, label), number).parse_next(input)
}

fn switch(input: &mut &str) -> Result<Switch> {
    (next_word, next_word)
        .map(|(name, value)| Switch { name, value })
        .parse_next(input)
}

fn step(input: &mut &str) -> Result<Step> {
    alt((
        process_step,
        platform_step,
        operator_step,
        load_step,
        check_step,
    ))
    .parse_next(input)
}

fn process_step(input: &mut &str) -> Result<Step> {
    alt((
        preceded("site", next_word).map(Step::Site),
        preceded("start", next_word).map(Step::Start),
        preceded("kill", next_word).map(Step::Kill),
        preceded("stop", next_word).map(Step::Stop),
        preceded("terminate", next_word).map(Step::Terminate),
        preceded("reload", next_word).map(Step::Reload),
        preceded("freeze", next_word).map(Step::Freeze),
        preceded("thaw", next_word).map(Step::Thaw),
        preceded("cut", (next_word, next_word)).map(|(node, direction)| Step::Cut(node, direction)),
    ))
    .parse_next(input)
}

fn platform_step(input: &mut &str) -> Result<Step> {
    alt((
        preceded("log", switch).map(Step::Log),
        preceded("backend", (next_word, switch)).map(|(host, to)| Step::Backend(host, to)),
        preceded("platform", (next_word, next_word))
            .map(|(host, state)| Step::Platform(host, state)),
    ))
    .parse_next(input)
}

fn operator_step(input: &mut &str) -> Result<Step> {
    alt((
        preceded(("ctl-fails", space1), words).map(Step::CtlFails),
        preceded(("ctl", space1), words).map(Step::Ctl),
        preceded("pause", number).map(Step::Pause),
    ))
    .parse_next(input)
}

fn load_step(input: &mut &str) -> Result<Step> {
    alt((
        preceded("load", load).map(Step::Load),
        preceded("finish", next_word).map(Step::Finish),
    ))
    .parse_next(input)
}

fn load(input: &mut &str) -> Result<LoadSpec> {
    let parts = (
        next_word,
        labelled_number("requests"),
        labelled_number("pace"),
        labelled_number("callers"),
        winnow::combinator::opt(preceded(space1, words)),
    );
    parts
        .map(|(name, requests, pace, callers, extra)| LoadSpec {
            name,
            requests,
            pace,
            callers,
            extra: extra.unwrap_or_default(),
        })
        .parse_next(input)
}

fn check_step(input: &mut &str) -> Result<Step> {
    alt((until, expect)).parse_next(input)
}

fn until(input: &mut &str) -> Result<Step> {
    let status = preceded(("until", space1, "status"), number);
    (
        status,
        next_word,
        next_word,
        labelled_number("at"),
        labelled_number("within"),
    )
        .map(|(status, team, service, entry, within_ms)| Step::Until {
            status: u16::try_from(status).unwrap_or(u16::MAX),
            team,
            service,
            entry: usize::try_from(entry).unwrap_or(usize::MAX),
            within_ms,
        })
        .parse_next(input)
}

fn expect(input: &mut &str) -> Result<Step> {
    let metric = separated(1.., metric_word, space1);
    let bound = alt((
        "<=".value(Bound::AtMost),
        ">=".value(Bound::AtLeast),
        "=".value(Bound::Equal),
    ));
    preceded(
        ("expect", space1),
        (metric, preceded(space1, bound), preceded(space1, float)),
    )
    .map(|(metric, bound, expected)| Step::Expect {
        metric,
        bound,
        expected,
    })
    .parse_next(input)
}

fn metric_word(input: &mut &str) -> Result<String> {
    take_while(1.., |c: char| c.is_alphanumeric() || matches!(c, '-' | '_'))
        .map(String::from)
        .parse_next(input)
}

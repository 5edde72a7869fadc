/** The project's lint rules for function names, terminology, wire names, module comments and index files. */
import {readFileSync} from 'node:fs';

const verbs = new Set(
  [...readFileSync('docs/VERBS.md', 'utf8').matchAll(/^\| ([a-z]+) \|/gm)].map(
    match => match[1],
  ),
);
verbs.delete('verb');

const FORBIDDEN_TERMS =
  /\b(zones?|customers?|back[ -]?ends?(?![ -]?(server|_))|machines?)\b/i;
const ALLOWED_TERMS = /state machines?|backend servers?/gi;

function hasAllowedVerb(name) {
  const verb = /^_?([a-z]+)/.exec(name)?.[1];
  return verb === undefined || verbs.has(verb);
}

const verbRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const checkName = (node, name) => {
      if (hasAllowedVerb(name)) return;
      context.report({
        node,
        message: `'${name}' does not begin with a verb listed in docs/VERBS.md.`,
      });
    };
    return {
      FunctionDeclaration(node) {
        if (node.id) checkName(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') {
          checkName(node.key, node.key.name);
        }
      },
      TSMethodSignature(node) {
        if (node.key.type === 'Identifier') checkName(node.key, node.key.name);
      },
    };
  },
};

const termRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    return {
      Program() {
        context.sourceCode.lines.forEach((line, index) => {
          const found = FORBIDDEN_TERMS.exec(line.replace(ALLOWED_TERMS, ''));
          if (found === null) return;
          const loc = {line: index + 1, column: 0};
          context.report({
            loc,
            message: `'${found[0]}' is not a term of this project; see docs/GLOSSARY.md for the term to use.`,
          });
        });
      },
    };
  },
};

/** Names of the platform's wire format, which may occur only in packages/platform/, where they are translated. */
const WIRE_NAMES =
  /[Ss]erver-[Ss]eal|[Ss]hard-[Kk]ey|[Ee]xpect-[Ii]nstance|beat_addr|hold_ms|hold_max_ms|res_type|path_prefix|cold_left_ms|store_revision|app_addr/;

const wireNameRule = {
  meta: {type: 'problem', schema: []},
  create(context) {
    return {
      Program() {
        context.sourceCode.lines.forEach((line, index) => {
          const found = WIRE_NAMES.exec(line);
          if (found === null) return;
          context.report({
            loc: {line: index + 1, column: 0},
            message: `'${found[0]}' is a wire name of the platform; translate it in packages/platform/.`,
          });
        });
      },
    };
  },
};

const moduleCommentRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    return {
      Program(node) {
        const first = context.sourceCode.getAllComments()[0];
        const hasModuleComment =
          first?.type === 'Block' && first.range[0] === 0;
        if (!hasModuleComment)
          context.report({
            node,
            message:
              'A module must begin with a block comment that describes it.',
          });
      },
    };
  },
};

const indexRule = {
  meta: {type: 'problem', schema: []},
  create(context) {
    return {
      Program(node) {
        if (/(^|\/)index\.[cm]?[jt]s$/.test(context.filename)) {
          context.report({
            node,
            message:
              'Index files are not allowed; import from the module itself.',
          });
        }
      },
    };
  },
};

export default {
  rules: {
    verb: verbRule,
    word: termRule,
    'wire-name': wireNameRule,
    'module-head': moduleCommentRule,
    'no-index': indexRule,
  },
};
